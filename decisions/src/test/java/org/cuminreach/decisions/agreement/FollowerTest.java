package org.cuminreach.decisions.agreement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;

class FollowerTest {
    private static final RaftSettings SETTINGS = RaftSettings.defaults();
    private static final Membership THREE =
            new Membership(
                    List.of(
                            FakeCluster.member("r1", true),
                            FakeCluster.member("r2", true),
                            FakeCluster.member("r3", true)));

    @Example
    void delayedSnapshotKeepsLaterEntries() {
        Replica follower = start();
        follower.receive(0, "r1", new Message.AppendRequest(1, 0, 0, entries(1, 6), 2, 1));

        Snapshot late = new Snapshot(4, 1, THREE, new byte[0]);
        List<Effect> effects = follower.receive(1, "r1", new Message.SnapshotRequest(1, late, 1));

        assertThat(follower.lastIndex()).isEqualTo(6);
        assertThat(follower.commitIndex()).isEqualTo(4);
        assertThat(effects)
                .contains(new Effect.Send("r1", new Message.AppendResponse(1, true, 4, 1)));
    }

    @Example
    void snapshotReplacesConflictingLog() {
        Replica follower = start();
        follower.receive(0, "r1", new Message.AppendRequest(1, 0, 0, entries(1, 6), 2, 1));

        Snapshot other = new Snapshot(4, 2, THREE, new byte[0]);
        follower.receive(1, "r3", new Message.SnapshotRequest(2, other, 1));

        assertThat(follower.lastIndex()).isEqualTo(4);
        assertThat(follower.commitIndex()).isEqualTo(4);
    }

    @Example
    void staleLeaderDoesNotEndElection() {
        Replica candidate = start();
        candidate.receive(0, "r1", new Message.AppendRequest(3, 0, 0, List.of(), 0, 1));
        List<Effect> effects = candidate.onTimer(10_000);
        assertThat(effects).contains(new Effect.Send("r3", new Message.VoteRequest(4, 0, 0, true)));

        candidate.receive(10_001, "r1", new Message.AppendRequest(2, 0, 0, List.of(), 0, 9));
        candidate.receive(10_002, "r3", new Message.VoteResponse(4, true, true));

        assertThat(candidate.term()).isEqualTo(4);
    }

    @Example
    void replicaWithoutLeaderContactSinceStartCampaignsEarly() {
        Replica started = start();

        assertThat(started.onTimer(SETTINGS.heartbeatMillis())).isEmpty();
        assertThat(started.onTimer(SETTINGS.electionTimeoutMillis() / 2))
                .contains(new Effect.Send("r3", new Message.VoteRequest(1, 0, 0, true)));
    }

    @Example
    void followerWaitsFullElectionTimeoutAfterLeaderContact() {
        Replica follower = start();
        follower.receive(0, "r1", new Message.AppendRequest(1, 0, 0, List.of(), 0, 1));

        assertThat(follower.onTimer(SETTINGS.electionTimeoutMillis() - 1)).isEmpty();
    }

    @Example
    void rejectionOfStaleLeaderAcknowledgesNoRound() {
        Replica follower = start();
        follower.receive(0, "r3", new Message.AppendRequest(5, 0, 0, List.of(), 0, 1));
        List<Effect> effects =
                follower.receive(1, "r1", new Message.AppendRequest(2, 0, 0, List.of(), 0, 57));

        assertThat(effects)
                .containsExactly(new Effect.Send("r1", new Message.AppendResponse(5, false, 0, 0)));
    }

    @Example
    void voteSurvivesRestart() {
        FakeDisk disk = FakeDisk.initial(THREE);
        for (Effect effect : start().receive(0, "r1", new Message.VoteRequest(2, 0, 0, false))) {
            if (effect instanceof Effect.SaveVote save) {
                disk.save(save);
            }
        }
        Replica restarted = Replica.start("r2", SETTINGS, new Random(2), disk.load(), 5);

        List<Effect> effects = restarted.receive(6, "r3", new Message.VoteRequest(2, 0, 0, false));
        assertThat(effects)
                .containsExactly(new Effect.Send("r3", new Message.VoteResponse(2, false, false)));
    }

    private static Replica start() {
        DurableState first = DurableState.initial(THREE, new byte[0]);
        return Replica.start("r2", SETTINGS, new Random(1), first, 0);
    }

    private static List<LogEntry> entries(long from, long to) {
        List<LogEntry> entries = new ArrayList<>();
        for (long index = from; index <= to; index++) {
            entries.add(new LogEntry(index, 1, new Payload.Command(new byte[] {1})));
        }
        return entries;
    }
}
