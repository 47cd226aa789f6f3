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
    private Optional<CandidateRole> candidateRole = Optional.empty();
    private Optional<LeaderRole> leaderRole = Optional.empty();

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
            RaftSettings settings,
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
    public List<Effect> onTimer(long nowMillis) {
        if (leaderRole.isPresent()) {
            onLeaderTimer(nowMillis, leaderRole.get());
        } else if (state.isElectionDue(nowMillis) && state.membership().isVoter(state.self)) {
            startElection(nowMillis);
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
        if (!isIgnored(nowMillis, message)) {
            if (raisesTerm(message) && message.term() > state.term()) {
                becomeFollower(message.term());
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
        if (leaderRole.isEmpty()) {
            return new ProposalOutcome.NotLeader(state.leader());
        }
        if (!canChangeMembership(leaderRole.get())) {
            return new ProposalOutcome.Refused("an earlier change is not committed yet");
        }
        if (!state.membership().canChangeTo(next)) {
            return new ProposalOutcome.Refused("only one voter may change at a time");
        }
        Optional<String> early = leaderRole.get().findVoterNotCaughtUp(nowMillis, next);
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
        if (leaderRole.isPresent()) {
            leaderRole.get().confirm(nowMillis, state.self, confirmation);
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
        return leaderRole.isPresent();
    }

    /**
     * Tells whether this replica is in contact with a quorum: as a leader by answers of voters, as
     * a follower by its leader.
     *
     * @param nowMillis present time
     * @return false when cut off
     */
    public boolean hasQuorum(long nowMillis) {
        return leaderRole
                .map(leading -> leading.hasQuorum(nowMillis))
                .orElseGet(
                        () ->
                                state.leader().isPresent()
                                        && state.hasLeaderContactWithin(
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
        return leaderRole.map(leading -> leading.matchIndex(member)).orElse(OptionalLong.empty());
    }

    /**
     * Returns how long the other members have been silent, as far as a leader knows.
     *
     * @param nowMillis present time
     * @return time since each was last heard, in milliseconds; empty on all but the leader
     */
    public Map<String, Long> silentMillis(long nowMillis) {
        return leaderRole.map(leading -> leading.silentMillis(nowMillis)).orElse(Map.of());
    }

    private ProposalOutcome append(long nowMillis, Payload payload) {
        if (leaderRole.isEmpty()) {
            return new ProposalOutcome.NotLeader(state.leader());
        }
        long index = leaderRole.get().propose(nowMillis, payload);
        return new ProposalOutcome.Appended(index, state.term(), state.drain());
    }

    private void onLeaderTimer(long nowMillis, LeaderRole leading) {
        // Until its opening entry is committed, a leader does not know how far the log is
        // committed.
        boolean removed =
                leading.hasCommittedInOwnTerm()
                        && committedMembership().member(state.self).isEmpty();
        if (removed || !leading.hasQuorum(nowMillis)) {
            stepDown();
            state.resetElectionDeadline(nowMillis);
            return;
        }
        leading.sendHeartbeatIfDue(nowMillis);
        if (canChangeMembership(leading)) {
            leading.nextPromotion(nowMillis)
                    .ifPresent(
                            next -> leading.propose(nowMillis, new Payload.MembershipChange(next)));
        }
    }

    private Membership committedMembership() {
        return state.log.membershipAt(state.commitIndex());
    }

    private boolean canChangeMembership(LeaderRole leading) {
        return leading.hasCommittedInOwnTerm() && committedMembership().equals(state.membership());
    }

    private void startElection(long nowMillis) {
        CandidateRole campaign = new CandidateRole(state);
        candidateRole = Optional.of(campaign);
        if (campaign.start(nowMillis)) {
            becomeLeader(nowMillis);
        }
    }

    private void becomeLeader(long nowMillis) {
        candidateRole = Optional.empty();
        state.setLeader(Optional.of(state.self));
        leaderRole = Optional.of(new LeaderRole(state, nowMillis));
    }

    private void stepDown() {
        candidateRole = Optional.empty();
        leaderRole = Optional.empty();
        state.setLeader(Optional.empty());
    }

    private void becomeFollower(long term) {
        stepDown();
        state.enterTerm(term, Optional.empty());
    }

    /** A vote request is ignored, term and all, while the leader is heard. */
    private boolean isIgnored(long nowMillis, Message message) {
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
            case Message.VoteRequest request -> handleVoteRequest(nowMillis, from, request);
            case Message.VoteResponse response -> handleVoteResponse(nowMillis, from, response);
            case Message.AppendRequest request ->
                    followerRole(request).receiveEntries(nowMillis, from, request);
            case Message.SnapshotRequest request ->
                    followerRole(request).receiveSnapshot(nowMillis, from, request);
            case Message.AppendResponse response -> {
                if (response.term() == state.term()) {
                    leaderRole.ifPresent(leading -> leading.receive(nowMillis, from, response));
                }
            }
            case Message.ConfirmRequest request ->
                    leaderRole.ifPresent(
                            leading -> leading.confirm(nowMillis, from, request.confirmation()));
            case Message.ConfirmResponse response ->
                    state.emit(new Effect.Confirmed(response.confirmation(), response.index()));
        }
    }

    /** A leader of this term ends a campaign; the message of an earlier one does not. */
    private FollowerRole followerRole(Message request) {
        if (request.term() == state.term()) {
            candidateRole = Optional.empty();
        }
        return new FollowerRole(state);
    }

    private void handleVoteRequest(long nowMillis, String from, Message.VoteRequest request) {
        boolean upToDate = state.isUpToDate(request.lastIndex(), request.lastTerm());
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

    private void handleVoteResponse(long nowMillis, String from, Message.VoteResponse response) {
        if (candidateRole.isPresent() && candidateRole.get().receive(from, response)) {
            becomeLeader(nowMillis);
        }
    }
}
