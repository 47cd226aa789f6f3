package org.cuminreach.decisions.agreement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;

class LeaderTest {
    private static final long ELECTED_MILLIS = 10_000;
    private static final long CONFIRMATION = 7;

    @Example
    void confirmsOnlyAfterAnEntryOfItsOwnTermIsCommitted() {
        Replica leader = elected();
        leader.confirm(ELECTED_MILLIS, CONFIRMATION);
        List<Effect> refused =
                leader.receive(ELECTED_MILLIS, "r3", new Message.AppendResponse(2, false, 1, 2));
        assertThat(confirmations(refused)).isEmpty();

        List<Effect> matched =
                leader.receive(ELECTED_MILLIS, "r3", new Message.AppendResponse(2, true, 4, 2));
        assertThat(confirmations(matched)).containsExactly(new Effect.Confirmed(CONFIRMATION, 4));
    }

    @Example
    void confirmsNothingByAnswersFromBeforeTheQuestion() {
        Replica leader = elected();
        leader.receive(ELECTED_MILLIS, "r3", new Message.AppendResponse(2, true, 4, 1));
        assertThat(leader.commitIndex()).isEqualTo(4);

        List<Effect> asked = leader.confirm(ELECTED_MILLIS + 60_000, CONFIRMATION);
        List<Effect> late =
                leader.receive(
                        ELECTED_MILLIS + 60_000, "r3", new Message.AppendResponse(2, true, 4, 1));
        assertThat(confirmations(asked)).isEmpty();
        assertThat(confirmations(late)).isEmpty();

        List<Effect> fresh =
                leader.receive(
                        ELECTED_MILLIS + 60_000, "r3", new Message.AppendResponse(2, true, 4, 2));
        assertThat(confirmations(fresh)).hasSize(1);
    }

    @Example
    void changesVotersOneByOneAndOnlyOnceItsTermIsCommitted() {
        Replica leader = elected();
        Membership three = leader.membership();
        Membership two = three.without("r1");
        assertThat(leader.changeMembership(ELECTED_MILLIS, two))
                .isInstanceOf(ProposalOutcome.Refused.class);

        leader.receive(ELECTED_MILLIS, "r3", new Message.AppendResponse(2, true, 4, 1));
        assertThat(leader.changeMembership(ELECTED_MILLIS, two.without("r3")))
                .isInstanceOf(ProposalOutcome.Refused.class);
        assertThat(leader.changeMembership(ELECTED_MILLIS, two))
                .isInstanceOf(ProposalOutcome.Appended.class);
        assertThat(leader.changeMembership(ELECTED_MILLIS, two.without("r3")))
                .isInstanceOf(ProposalOutcome.Refused.class);
    }

    @Example
    void stepsDownOnceItWakesWithoutQuorum() {
        Replica leader = elected();
        assertThat(leader.hasQuorum(ELECTED_MILLIS + 60_000)).isFalse();
        leader.tick(ELECTED_MILLIS + 60_000);
        assertThat(leader.isLeader()).isFalse();
        assertThat(leader.propose(ELECTED_MILLIS + 60_000, new byte[1]))
                .isEqualTo(new ProposalOutcome.NotLeader(Optional.empty()));
    }

    /** A leader of term 2 with three entries of term 1, none known to be committed. */
    private static Replica elected() {
        Membership three =
                new Membership(
                        List.of(
                                FakeCluster.member("r1", true),
                                FakeCluster.member("r2", true),
                                FakeCluster.member("r3", true)));
        List<LogEntry> entries =
                List.of(
                        new LogEntry(1, 1, new Payload.Opening()),
                        new LogEntry(2, 1, new Payload.Opening()),
                        new LogEntry(3, 1, new Payload.Opening()));
        DurableState durable =
                new DurableState(
                        1,
                        Optional.empty(),
                        DurableState.first(three, new byte[0]).snapshot(),
                        entries);
        Replica replica =
                Replica.start("r2", AgreementSettings.standard(), new Random(1), durable, 0);
        replica.tick(ELECTED_MILLIS);
        replica.receive(ELECTED_MILLIS, "r3", new Message.VoteResponse(2, true, true));
        replica.receive(ELECTED_MILLIS, "r3", new Message.VoteResponse(2, true, false));
        assertThat(replica.isLeader()).isTrue();
        return replica;
    }

    private static List<Effect> confirmations(List<Effect> effects) {
        return effects.stream().filter(Effect.Confirmed.class::isInstance).toList();
    }
}
