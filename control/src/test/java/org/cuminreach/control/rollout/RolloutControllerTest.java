package org.cuminreach.control.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.cuminreach.control.replica.PeerNetwork;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.agreement.Message;
import org.cuminreach.decisions.agreement.Payload;
import org.cuminreach.decisions.agreement.Snapshot;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshState;
import org.cuminreach.decisions.configuration.MeshStateImage;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.RaftCodec;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.Frame;

class RolloutControllerTest {
    private static final long DONE_BY_MILLIS = 60_000;
    private static final long ELECTION_MILLIS = 10_000;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long WAIT_SECONDS = 30;
    private static final String DOCUMENT =
            """
            {"services": [{"name": "arkiv", "version": "1",
              "rollout": {"version": "2", "doneBy": "%s"}}],
             "routes": [{"name": "catalogue", "host": "arkiv.example", "service": "arkiv"}]}
            """
                    .formatted(Instant.ofEpochMilli(DONE_BY_MILLIS));

    private static final MeshCommand LATER_COMMAND =
            new MeshCommand.SetEvacuation("operator", "west", true, 20);
    private static final long TERM = 2;

    private final CompletableFuture<Void> leads = new CompletableFuture<>();
    private final CompletableFuture<List<LogEntry>> resentEntries = new CompletableFuture<>();

    /** The rollout is done according to an entry that the new leader has not applied yet. */
    @Example
    void newLeaderDoesNotStepRolloutByConfigurationThatIsOutdated() throws Exception {
        ReplicaDriver leader = startNewLeader();
        RolloutController controller = RolloutController.create(leader);

        controller.onTimer(ELECTION_MILLIS, 2 * DONE_BY_MILLIS);

        leader.propose(LATER_COMMAND, ELECTION_MILLIS);
        leader.onTimer(ELECTION_MILLIS + HEARTBEAT_MILLIS);
        List<LogEntry> resent = resentEntries.get(WAIT_SECONDS, TimeUnit.SECONDS);
        List<Payload> commands =
                resent.stream()
                        .map(LogEntry::payload)
                        .filter(Payload.Command.class::isInstance)
                        .toList();
        assertThat(commands).hasSize(1);
        leader.close();
    }

    /** Starts a replica that has won its election but has committed nothing since. */
    private ReplicaDriver startNewLeader() throws Exception {
        DataFolder folder = DataFolder.open(Files.createTempDirectory("rollout-controller"));
        folder.saveSnapshot(snapshotWithRollout(), false);
        folder.load();
        folder.saveVote(1, Optional.empty());
        folder.saveEntries(List.of(new LogEntry(2, 1, command(rolloutDone()))));
        ReplicaDriver replica =
                ReplicaDriver.start("r1", folder, new Network(), new Random(1), 0, failure -> {});
        replica.onTimer(ELECTION_MILLIS);
        replica.receive("r2", new Message.VoteResponse(TERM, true, true), ELECTION_MILLIS);
        replica.receive("r2", new Message.VoteResponse(TERM, true, false), ELECTION_MILLIS);
        leads.get(WAIT_SECONDS, TimeUnit.SECONDS);
        return replica;
    }

    private static Snapshot snapshotWithRollout() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        state.apply(1, new MeshCommand.SubmitDocument("operator", "key-1", 0, DOCUMENT, 0));
        List<Member> members =
                IntStream.rangeClosed(1, 3)
                        .mapToObj(
                                number ->
                                        new Member(
                                                "r" + number,
                                                new Address("10.0.0.1", 1_000 + number),
                                                true))
                        .toList();
        return new Snapshot(
                1, 0, new Membership(members), ConfigurationCodec.encode(state.image()));
    }

    private static MeshCommand rolloutDone() {
        return new MeshCommand.StepRollout("arkiv", "2", RolloutPhase.DONE, 1_000, "proven", 10);
    }

    private static Payload command(MeshCommand command) {
        return new Payload.Command(StructCodec.encode(ConfigurationCodec.toStruct(command)));
    }

    private final class Network implements PeerNetwork {
        @Override
        public boolean send(String to, Frame frame) {
            try {
                Message message = RaftCodec.toMessage(frame.getAgreement());
                if (message instanceof Message.AppendRequest request) {
                    leads.complete(null);
                    if (!request.entries().isEmpty()) {
                        resentEntries.complete(request.entries());
                    }
                }
                return true;
            } catch (MalformedFrameException malformed) {
                throw new IllegalStateException(malformed);
            }
        }

        @Override
        public void updateMembership(Membership membership) {}
    }
}
