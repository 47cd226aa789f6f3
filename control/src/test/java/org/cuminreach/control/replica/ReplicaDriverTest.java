package org.cuminreach.control.replica;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.control.storage.FakeFolder;
import org.cuminreach.decisions.agreement.DurableState;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshStateImage;
import org.cuminreach.decisions.configuration.SubmissionOutcome;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.generated.Frame;

class ReplicaDriverTest {
    private static final long ELECTION_MILLIS = 10_000;
    private static final long TIMEOUT_SECONDS = 30;
    private static final long DISK_FULL_MILLIS = 300;
    private static final long MAX_REPLAY_CHARACTERS = 3L * 1024 * 1024;
    private static final String LARGE_DOCUMENT = "{/*" + "-".repeat(512 * 1024) + "*/}";

    private final FakeFolder files = new FakeFolder(1);
    private final CompletableFuture<Exception> failure = new CompletableFuture<>();

    @Example
    void rejectsCommandsAsNotRunOnlyWhileDiskIsNearlyFull() throws Exception {
        ReplicaDriver leader = startSingleVoter();
        files.setUsableBytes(DataFolder.MIN_RESERVE_BYTES + 10);
        assertThat(submit(leader, "a", 0)).isInstanceOf(SubmitResult.NotRun.class);
        long before = leader.commitIndex();
        assertThat(submit(leader, "a", 0)).isInstanceOf(SubmitResult.NotRun.class);
        assertThat(leader.commitIndex()).isEqualTo(before);

        files.setUsableBytes(2 * DataFolder.MIN_RESERVE_BYTES);
        assertThat(submit(leader, "a", 0)).isInstanceOf(SubmitResult.Decided.class);
        leader.close();
    }

    @Example
    void retriesFailedWritesUntilDiskHasSpace() throws Exception {
        ReplicaDriver leader = startSingleVoter();
        files.failWrites(true);
        CompletableFuture<SubmitResult> result = propose(leader, "a", 0);
        Thread.sleep(DISK_FULL_MILLIS);
        assertThat(result.isDone()).isFalse();
        assertThat(failure.isDone()).isFalse();

        files.failWrites(false);
        assertThat(result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .isInstanceOf(SubmitResult.Decided.class);
        leader.close();
    }

    @Example
    void stopsAfterFailedSync() throws Exception {
        ReplicaDriver leader = startSingleVoter();
        // The sync of the election must not be the one that fails.
        assertThat(submit(leader, "first", 0)).isInstanceOf(SubmitResult.Decided.class);
        files.failSync();
        CompletableFuture<SubmitResult> result = propose(leader, "a", 0);
        assertThat(failure.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .hasCauseThat()
                .isInstanceOf(IOException.class);

        assertThat(result.isDone()).isFalse();
        assertThat(submit(leader, "b", 0)).isInstanceOf(SubmitResult.NotRun.class);
        leader.close();
    }

    @Example
    void resendGetsPreviousOutcomeAfterRestartFromSnapshot() throws Exception {
        ReplicaDriver first = startSingleVoter();
        SubmitResult accepted = submit(first, "a", 0);
        for (int number = 0; number < 50; number++) {
            submit(first, "stale-" + number, 0);
        }
        first.close();
        files.restart();
        assertThat(files.exists("entries-0")).isFalse();

        ReplicaDriver second = start();
        second.onTimer(ELECTION_MILLIS);
        assertThat(submit(second, "a", 0)).isEqualTo(accepted);
        assertThat(submit(second, "stale-7", 0))
                .isEqualTo(new SubmitResult.Decided(new SubmissionOutcome.RefusedAsStale(2)));
        second.close();
    }

    @Example
    void restartDoesNotReplayLongLogOfLargeDocuments() throws Exception {
        ReplicaDriver first = startSingleVoter();
        long version = 0;
        for (int number = 0; number < 12; number++) {
            SubmitResult accepted = submit(first, "large-" + number, version, LARGE_DOCUMENT);
            version = first.configuration().documentVersion();
            assertThat(accepted)
                    .isEqualTo(new SubmitResult.Decided(new SubmissionOutcome.Accepted(version)));
        }
        first.close();
        files.restart();

        ReplicaDriver second = start();
        long replayedVersions = version - second.configuration().documentVersion();
        assertThat(replayedVersions * LARGE_DOCUMENT.length()).isAtMost(MAX_REPLAY_CHARACTERS);
        second.close();
    }

    private ReplicaDriver startSingleVoter() throws IOException {
        Address address = Address.parse("10.0.0.1:1001").orElseThrow();
        Membership membership = new Membership(List.of(new Member("r1", address, true)));
        byte[] state = ConfigurationCodec.encode(MeshStateImage.empty());
        DataFolder.open(files)
                .saveSnapshot(
                        DurableState.initial(membership, state).snapshot().orElseThrow(), false);
        ReplicaDriver leader = start();
        leader.onTimer(ELECTION_MILLIS);
        return leader;
    }

    private ReplicaDriver start() throws IOException {
        return ReplicaDriver.start(
                "r1",
                DataFolder.open(files),
                new DisconnectedNetwork(),
                new Random(1),
                0,
                failure::complete,
                20);
    }

    private static SubmitResult submit(ReplicaDriver leader, String key, long basedOn)
            throws Exception {
        return submit(leader, key, basedOn, "{}");
    }

    private static SubmitResult submit(
            ReplicaDriver leader, String key, long basedOn, String document) throws Exception {
        return propose(leader, key, basedOn, document).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static CompletableFuture<SubmitResult> propose(
            ReplicaDriver leader, String key, long basedOn) {
        return propose(leader, key, basedOn, "{}");
    }

    private static CompletableFuture<SubmitResult> propose(
            ReplicaDriver leader, String key, long basedOn, String document) {
        return leader.propose(
                new MeshCommand.SubmitDocument("test", key, basedOn, document, 1), ELECTION_MILLIS);
    }

    /** A network without other controls. */
    private static final class DisconnectedNetwork implements PeerNetwork {
        @Override
        public boolean send(String to, Frame frame) {
            return false;
        }

        @Override
        public void updateMembership(Membership membership) {}
    }
}
