package org.cuminreach.decisions.agreement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;

class LeaderTest {
    private static final long ELECTION_MILLIS = 10_000;
    private static final long CONFIRMATION = 7;

    @Example
    void confirmsOnlyAfterAnEntryOfItsOwnTermIsCommitted() {
        Replica leader = electedLeader();
        leader.confirm(ELECTION_MILLIS, CONFIRMATION);
        List<Effect> refused =
                leader.receive(ELECTION_MILLIS, "r3", new Message.AppendResponse(2, false, 1, 2));
        assertThat(confirmations(refused)).isEmpty();

        List<Effect> matched =
                leader.receive(ELECTION_MILLIS, "r3", new Message.AppendResponse(2, true, 4, 2));
        assertThat(confirmations(matched)).containsExactly(new Effect.Confirmed(CONFIRMATION, 4));
    }

    @Example
    void responsesToEarlierBroadcastsDoNotConfirm() {
        Replica leader = electedLeader();
        leader.receive(ELECTION_MILLIS, "r3", new Message.AppendResponse(2, true, 4, 1));
        assertThat(leader.commitIndex()).isEqualTo(4);

        List<Effect> requested = leader.confirm(ELECTION_MILLIS + 60_000, CONFIRMATION);
        List<Effect> late =
                leader.receive(
                        ELECTION_MILLIS + 60_000, "r3", new Message.AppendResponse(2, true, 4, 1));
        assertThat(confirmations(requested)).isEmpty();
        assertThat(confirmations(late)).isEmpty();

        List<Effect> current =
                leader.receive(
                        ELECTION_MILLIS + 60_000, "r3", new Message.AppendResponse(2, true, 4, 2));
        assertThat(confirmations(current)).hasSize(1);
    }

    @Example
    void changesVotersOneByOneAfterCommitInOwnTerm() {
        Replica leader = electedLeader();
        Membership three = leader.membership();
        Membership two = three.without("r1");
        assertThat(leader.changeMembership(ELECTION_MILLIS, two))
                .isInstanceOf(ProposalOutcome.Refused.class);

        leader.receive(ELECTION_MILLIS, "r3", new Message.AppendResponse(2, true, 4, 1));
        assertThat(leader.changeMembership(ELECTION_MILLIS, two.without("r3")))
                .isInstanceOf(ProposalOutcome.Refused.class);
        assertThat(leader.changeMembership(ELECTION_MILLIS, two))
                .isInstanceOf(ProposalOutcome.Appended.class);
        assertThat(leader.changeMembership(ELECTION_MILLIS, two.without("r3")))
                .isInstanceOf(ProposalOutcome.Refused.class);
    }

    @Example
    void stepsDownAfterPauseWithoutQuorum() {
        Replica leader = electedLeader();
        assertThat(leader.hasQuorum(ELECTION_MILLIS + 60_000)).isFalse();
        leader.onTimer(ELECTION_MILLIS + 60_000);
        assertThat(leader.isLeader()).isFalse();
        assertThat(leader.propose(ELECTION_MILLIS + 60_000, new byte[1]))
                .isEqualTo(new ProposalOutcome.NotLeader(Optional.empty()));
    }

    /** Returns a leader of term 2 with three entries of term 1, none known to be committed. */
    private static Replica electedLeader() {
        Membership three =
                new Membership(
                        List.of(
                                FakeCluster.member("r1", true),
                                FakeCluster.member("r2", true),
                                FakeCluster.member("r3", true)));
        List<LogEntry> entries =
                List.of(
                        new LogEntry(1, 1, new Payload.NoOp()),
                        new LogEntry(2, 1, new Payload.NoOp()),
                        new LogEntry(3, 1, new Payload.NoOp()));
        DurableState durable =
                new DurableState(
                        1,
                        Optional.empty(),
                        DurableState.initial(three, new byte[0]).snapshot(),
                        entries);
        Replica replica = Replica.start("r2", RaftSettings.defaults(), new Random(1), durable, 0);
        replica.onTimer(ELECTION_MILLIS);
        replica.receive(ELECTION_MILLIS, "r3", new Message.VoteResponse(2, true, true));
        replica.receive(ELECTION_MILLIS, "r3", new Message.VoteResponse(2, true, false));
        assertThat(replica.isLeader()).isTrue();
        return replica;
    }

    private static List<Effect> confirmations(List<Effect> effects) {
        return effects.stream().filter(Effect.Confirmed.class::isInstance).toList();
    }
}
