package org.cuminreach.control.replica;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.control.storage.FakeFolder;
import org.cuminreach.decisions.agreement.DurableState;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.agreement.Message;
import org.cuminreach.decisions.agreement.Payload;
import org.cuminreach.decisions.agreement.RaftSettings;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshStateImage;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.Frame;

/** A replica that learns at once that many entries are committed, as after a restart of all. */
class LongLogReplayTest {
    private static final int ENTRIES = 300;
    private static final int SERVICES = 20;
    private static final long TERM = 1;
    private static final long MILLIS_PER_ENTRY = 15;
    private static final long HEARTBEAT_MILLIS = RaftSettings.defaults().heartbeatMillis();
    private static final long TIMEOUT_SECONDS = 60;

    private final FakeFolder files = new FakeFolder(1);
    private final CompletableFuture<Long> versionAtResponse = new CompletableFuture<>();
    private final CompletableFuture<Long> lastVersion = new CompletableFuture<>();
    private ReplicaDriver follower;

    /** A replica that does not answer for an election timeout costs the leader its quorum. */
    @Example
    void leaderIsAnsweredBeforeLongLogIsApplied() throws Exception {
        startFollower();
        receiveCommittedEntries();

        assertThat(versionAtResponse.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isLessThan(ENTRIES);
        assertThat(lastVersion.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(ENTRIES);
        follower.close();
    }

    @Example
    void sliceEndsBeforeLongLogIsAppliedAndPublishesLatestVersionOnly() {
        ReplicatedState state = new ReplicatedState(Optional.empty());
        List<Long> published = new ArrayList<>();
        state.addListener(configuration -> published.add(configuration.version()));
        EntryApplier applier =
                new EntryApplier(state, new PendingProposals(), new PendingConfirmations(0));
        for (long index = 1; index <= ENTRIES; index++) {
            applier.add(new LogEntry(index, TERM, command(index)), 0);
        }
        AtomicLong clockMillis = new AtomicLong();
        int slices = 0;
        while (applier.hasOutstanding()) {
            long appliedBefore = state.appliedIndex();
            Completions completions = new Completions();
            applier.applySlice(() -> clockMillis.addAndGet(MILLIS_PER_ENTRY), completions);
            completions.run();
            slices++;

            assertThat(state.appliedIndex()).isGreaterThan(appliedBefore);
            assertThat((state.appliedIndex() - appliedBefore) * MILLIS_PER_ENTRY)
                    .isAtMost(HEARTBEAT_MILLIS);
            assertThat(published.getLast()).isEqualTo(state.appliedIndex());
        }

        assertThat(state.appliedIndex()).isEqualTo(ENTRIES);
        assertThat(published).hasSize(slices);
    }

    private void startFollower() throws IOException {
        List<Member> members =
                IntStream.rangeClosed(1, 3)
                        .mapToObj(
                                number ->
                                        new Member(
                                                "r" + number,
                                                new Address("10.0.0.1", 1_000 + number),
                                                true))
                        .toList();
        byte[] state = ConfigurationCodec.encode(MeshStateImage.empty());
        DataFolder.open(files)
                .saveSnapshot(
                        DurableState.initial(new Membership(members), state)
                                .snapshot()
                                .orElseThrow(),
                        false);
        follower =
                ReplicaDriver.start(
                        "r1",
                        DataFolder.open(files),
                        new ResponseNetwork(),
                        new Random(1),
                        0,
                        failure -> {});
        follower.addListener(
                configuration -> {
                    if (configuration.version() == ENTRIES) {
                        lastVersion.complete(configuration.version());
                    }
                });
    }

    private void receiveCommittedEntries() {
        List<LogEntry> entries = new ArrayList<>();
        for (long index = 2; index <= ENTRIES; index++) {
            entries.add(new LogEntry(index, TERM, command(index)));
        }
        follower.receive("r2", append(1, List.of(new LogEntry(1, TERM, command(1))), 0), 0);
        follower.receive("r2", new Message.AppendRequest(TERM, 1, TERM, entries, ENTRIES, 2), 0);
    }

    private static Message append(long round, List<LogEntry> entries, long commitIndex) {
        return new Message.AppendRequest(TERM, 0, 0, entries, commitIndex, round);
    }

    private static Payload command(long index) {
        MeshCommand command =
                new MeshCommand.SubmitDocument(
                        "test", "key-" + index, index - 1, document(index), index);
        return new Payload.Command(StructCodec.encode(ConfigurationCodec.toStruct(command)));
    }

    private static String document(long revision) {
        return IntStream.range(0, SERVICES)
                .mapToObj("{\"name\": \"service-%d\", \"version\": \"1\"}"::formatted)
                .collect(
                        Collectors.joining(
                                ", ", "{\"revision\": " + revision + ", \"services\": [", "]}"));
    }

    /** Notes the version that the follower has published when it responds to the entries. */
    private final class ResponseNetwork implements PeerNetwork {
        private int responses;

        @Override
        public boolean send(String to, Frame frame) {
            responses++;
            if (responses == 2) {
                versionAtResponse.complete(follower.configuration().version());
            }
            return true;
        }

        @Override
        public void updateMembership(Membership membership) {}
    }
}
