package org.cuminreach.decisions.agreement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * One replica of the log, as a pure state machine. Every method that decides takes the present time
 * and returns effects, to be carried out in order. Not safe for use by several threads at once.
 */
public final class Replica {
    private final ReplicaState state;
    private Optional<Candidacy> candidacy = Optional.empty();
    private Optional<Leadership> leadership = Optional.empty();

    private Replica(ReplicaState state) {
        this.state = state;
    }

    /**
     * Starts a replica from what its disk holds.
     *
     * @param self identity of this replica
     * @param settings timing and sizes
     * @param random source of the election jitter
     * @param durable what the disk holds
     * @param nowMillis present time, in milliseconds of a clock that never goes back
     * @return the replica, as a follower
     */
    public static Replica start(
            String self,
            AgreementSettings settings,
            RandomGenerator random,
            DurableState durable,
            long nowMillis) {
        ReplicaState state = new ReplicaState(self, settings, random, durable);
        state.resetElectionDeadline(nowMillis);
        return new Replica(state);
    }

    /**
     * Lets time pass; to be called several times within a heartbeat interval.
     *
     * @param nowMillis present time
     * @return what to do
     */
    public List<Effect> tick(long nowMillis) {
        if (leadership.isPresent()) {
            tickLeader(nowMillis, leadership.get());
        } else if (state.electionDue(nowMillis) && state.membership().isVoter(state.self)) {
            campaign(nowMillis);
        }
        return state.drain();
    }

    /**
     * Takes a message from another replica.
     *
     * @param nowMillis present time
     * @param from identity of the sender
     * @param message the message
     * @return what to do
     */
    public List<Effect> receive(long nowMillis, String from, Message message) {
        if (!ignored(nowMillis, message)) {
            if (raisesTerm(message) && message.term() > state.term()) {
                follow(message.term());
            }
            dispatch(nowMillis, from, message);
        }
        return state.drain();
    }

    /**
     * Proposes a command.
     *
     * @param nowMillis present time
     * @param command the encoded command
     * @return whether it was appended here
     */
    public ProposalOutcome propose(long nowMillis, byte[] command) {
        return append(nowMillis, new Payload.Command(command));
    }

    /**
     * Proposes a new membership. Refused while an earlier change or the leader's first entry is not
     * committed, when more than one voter would change, or when the new voter is not a learner that
     * holds every committed entry. Such a learner is promoted by the leader itself.
     *
     * @param nowMillis present time
     * @param next the whole new membership
     * @return whether it was appended here
     */
    public ProposalOutcome changeMembership(long nowMillis, Membership next) {
        if (leadership.isEmpty()) {
            return new ProposalOutcome.NotLeader(state.leader());
        }
        if (!mayChangeMembership(leadership.get())) {
            return new ProposalOutcome.Refused("an earlier change is not committed yet");
        }
        if (!state.membership().mayBecome(next)) {
            return new ProposalOutcome.Refused("only one voter may change at a time");
        }
        Optional<String> early = leadership.get().promotedTooEarly(nowMillis, next);
        if (early.isPresent()) {
            return new ProposalOutcome.Refused(early.get() + " has not caught up as a learner");
        }
        return append(nowMillis, new Payload.MembershipChange(next));
    }

    /**
     * Asks for a quorum's confirmation of the leader; {@link Effect.Confirmed} may follow now or
     * later. It never follows when the leader is unknown, changes, or has no quorum: the asker
     * waits a bounded time.
     *
     * @param nowMillis present time
     * @param confirmation number chosen by the asker, never used before by this identity, also not
     *     before a restart
     * @return what to do
     */
    public List<Effect> confirm(long nowMillis, long confirmation) {
        if (leadership.isPresent()) {
            leadership.get().confirm(nowMillis, state.self, confirmation);
        } else {
            state.leader()
                    .ifPresent(
                            leader ->
                                    state.send(
                                            leader,
                                            new Message.ConfirmRequest(
                                                    state.term(), confirmation)));
        }
        return state.drain();
    }

    /**
     * Replaces the entries up to an applied index by a snapshot.
     *
     * @param index an index that has been applied
     * @param encoded the encoded state right after that index
     * @return what to do
     */
    public List<Effect> compact(long index, byte[] encoded) {
        if (index > state.log.snapshot().lastIndex() && index <= state.appliedIndex()) {
            state.compact(index, encoded);
        }
        return state.drain();
    }

    /**
     * Tells whether this replica leads.
     *
     * @return true for a leader, also for one that has not yet noticed the loss of its quorum
     */
    public boolean isLeader() {
        return leadership.isPresent();
    }

    /**
     * Tells whether this replica is in contact with a quorum: as a leader by answers of voters, as
     * a follower by its leader.
     *
     * @param nowMillis present time
     * @return false when cut off
     */
    public boolean hasQuorum(long nowMillis) {
        return leadership
                .map(leading -> leading.hasQuorum(nowMillis))
                .orElseGet(
                        () ->
                                state.leader().isPresent()
                                        && state.leaderHeardWithin(
                                                nowMillis, state.settings.electionTimeoutMillis()));
    }

    /**
     * Returns the leader.
     *
     * @return identity of the leader, if known
     */
    public Optional<String> leader() {
        return state.leader();
    }

    /**
     * Returns the term.
     *
     * @return latest term seen
     */
    public long term() {
        return state.term();
    }

    /**
     * Returns the membership in force.
     *
     * @return the latest membership in the log, committed or not
     */
    public Membership membership() {
        return state.membership();
    }

    /**
     * Returns the highest index known to be committed.
     *
     * @return the index
     */
    public long commitIndex() {
        return state.commitIndex();
    }

    /**
     * Returns the end of the log.
     *
     * @return index of the last entry
     */
    public long lastIndex() {
        return state.log.lastIndex();
    }

    /**
     * Returns how far another replica's log matches this leader's.
     *
     * @param member identity
     * @return highest matching index, or empty when this replica does not lead or does not know it
     */
    public OptionalLong matchIndex(String member) {
        return leadership.map(leading -> leading.matchIndex(member)).orElse(OptionalLong.empty());
    }

    /**
     * Returns how long the other members have been silent, as far as a leader knows.
     *
     * @param nowMillis present time
     * @return time since each was last heard, in milliseconds; empty on all but the leader
     */
    public Map<String, Long> silentMillis(long nowMillis) {
        return leadership.map(leading -> leading.silentMillis(nowMillis)).orElse(Map.of());
    }

    private ProposalOutcome append(long nowMillis, Payload payload) {
        if (leadership.isEmpty()) {
            return new ProposalOutcome.NotLeader(state.leader());
        }
        long index = leadership.get().propose(nowMillis, payload);
        return new ProposalOutcome.Appended(index, state.term(), state.drain());
    }

    private void tickLeader(long nowMillis, Leadership leading) {
        // Until its opening entry is committed, a leader does not know how far the log is
        // committed.
        boolean removed = leading.opened() && committedMembership().member(state.self).isEmpty();
        if (removed || !leading.hasQuorum(nowMillis)) {
            stepDown();
            state.resetElectionDeadline(nowMillis);
            return;
        }
        leading.tick(nowMillis);
        if (mayChangeMembership(leading)) {
            leading.promotionDue(nowMillis)
                    .ifPresent(
                            next -> leading.propose(nowMillis, new Payload.MembershipChange(next)));
        }
    }

    private Membership committedMembership() {
        return state.log.membershipAt(state.commitIndex());
    }

    private boolean mayChangeMembership(Leadership leading) {
        return leading.opened() && committedMembership().equals(state.membership());
    }

    private void campaign(long nowMillis) {
        Candidacy campaign = new Candidacy(state);
        candidacy = Optional.of(campaign);
        if (campaign.start(nowMillis)) {
            lead(nowMillis);
        }
    }

    private void lead(long nowMillis) {
        candidacy = Optional.empty();
        state.setLeader(Optional.of(state.self));
        leadership = Optional.of(new Leadership(state, nowMillis));
    }

    private void stepDown() {
        candidacy = Optional.empty();
        leadership = Optional.empty();
        state.setLeader(Optional.empty());
    }

    private void follow(long term) {
        stepDown();
        state.enterTerm(term, Optional.empty());
    }

    /** A vote request is ignored, term and all, while the leader is heard. */
    private boolean ignored(long nowMillis, Message message) {
        if (!(message instanceof Message.VoteRequest)) {
            return false;
        }
        return hasQuorum(nowMillis) && message.term() > state.term();
    }

    private static boolean raisesTerm(Message message) {
        return switch (message) {
            case Message.VoteRequest request -> !request.preVote();
            case Message.VoteResponse response -> !(response.preVote() && response.granted());
            default -> true;
        };
    }

    private void dispatch(long nowMillis, String from, Message message) {
        switch (message) {
            case Message.VoteRequest request -> vote(nowMillis, from, request);
            case Message.VoteResponse response -> countVote(nowMillis, from, response);
            case Message.AppendRequest request ->
                    follower(request).append(nowMillis, from, request);
            case Message.SnapshotRequest request ->
                    follower(request).install(nowMillis, from, request);
            case Message.AppendResponse response -> {
                if (response.term() == state.term()) {
                    leadership.ifPresent(leading -> leading.receive(nowMillis, from, response));
                }
            }
            case Message.ConfirmRequest request ->
                    leadership.ifPresent(
                            leading -> leading.confirm(nowMillis, from, request.confirmation()));
            case Message.ConfirmResponse response ->
                    state.emit(new Effect.Confirmed(response.confirmation(), response.index()));
        }
    }

    /** A leader of this term ends a campaign; the message of an earlier one does not. */
    private Followership follower(Message request) {
        if (request.term() == state.term()) {
            candidacy = Optional.empty();
        }
        return new Followership(state);
    }

    private void vote(long nowMillis, String from, Message.VoteRequest request) {
        boolean upToDate = state.upToDate(request.lastIndex(), request.lastTerm());
        if (request.preVote()) {
            boolean granted = upToDate && request.term() > state.term();
            long term = granted ? request.term() : state.term();
            state.send(from, new Message.VoteResponse(term, granted, true));
            return;
        }
        boolean free = state.vote().isEmpty() || state.vote().get().equals(from);
        boolean granted = upToDate && free && request.term() == state.term();
        if (granted) {
            state.enterTerm(state.term(), Optional.of(from));
            state.resetElectionDeadline(nowMillis);
        }
        state.send(from, new Message.VoteResponse(state.term(), granted, false));
    }

    private void countVote(long nowMillis, String from, Message.VoteResponse response) {
        if (candidacy.isPresent() && candidacy.get().receive(from, response)) {
            lead(nowMillis);
        }
    }
}
