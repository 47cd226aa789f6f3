package org.cuminreach.decisions.agreement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * A Raft replica as a pure state machine. Its methods take the current time and return the effects
 * to execute, in order. Not thread-safe.
 */
public final class Replica {
    private final ReplicaState state;
    private Optional<CandidateRole> candidateRole = Optional.empty();
    private Optional<LeaderRole> leaderRole = Optional.empty();

    private Replica(ReplicaState state) {
        this.state = state;
    }

    /**
     * Starts a replica from its durable state.
     *
     * @param self identity of this replica
     * @param settings timing and size limits
     * @param random random generator for the election timeout
     * @param durable state loaded from disk
     * @param nowMillis current time, in milliseconds of a monotonic clock
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
     * Sends heartbeats and starts elections that are due; must be called several times per
     * heartbeat interval.
     *
     * @param nowMillis current time
     * @return the effects to execute
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
     * Processes a message from another replica.
     *
     * @param nowMillis current time
     * @param from identity of the sender
     * @param message the message
     * @return the effects to execute
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
     * @param nowMillis current time
     * @param command the encoded command
     * @return the outcome at this replica
     */
    public ProposalOutcome propose(long nowMillis, byte[] command) {
        return append(nowMillis, new Payload.Command(command));
    }

    /**
     * Proposes a new membership. It is refused while an earlier change or the leader's first entry
     * is not committed, if more than one voter would change, or if the new voter is not a learner
     * that holds every committed entry. The leader promotes such learners by itself.
     *
     * @param nowMillis current time
     * @param next the complete new membership
     * @return the outcome at this replica
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
        Optional<String> notCaughtUp = leaderRole.get().findVoterNotCaughtUp(nowMillis, next);
        if (notCaughtUp.isPresent()) {
            return new ProposalOutcome.Refused(
                    notCaughtUp.get() + " has not caught up as a learner");
        }
        return append(nowMillis, new Payload.MembershipChange(next));
    }

    /**
     * Requests that a quorum confirm the leader; {@link Effect.Confirmed} may follow now or later.
     * It does not follow if the leader is unknown, changes or has no quorum, so the requester needs
     * a timeout.
     *
     * @param nowMillis current time
     * @param confirmation number chosen by the requester, unique for this identity across restarts
     * @return the effects to execute
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
     * Gives up the lead, so that another replica is elected; this one campaigns only later.
     *
     * @param nowMillis current time
     * @return the effects to execute
     */
    public List<Effect> resign(long nowMillis) {
        if (leaderRole.isPresent()) {
            stepDown();
            state.resetElectionDeadline(nowMillis + state.settings.resignationPauseMillis());
        }
        return state.drain();
    }

    /**
     * Replaces the entries up to an applied index with a snapshot.
     *
     * @param index an index that has been applied
     * @param encoded the encoded replicated state as of that index
     * @return the effects to execute
     */
    public List<Effect> compact(long index, byte[] encoded) {
        if (index > state.log.snapshot().lastIndex() && index <= state.appliedIndex()) {
            state.compact(index, encoded);
        }
        return state.drain();
    }

    /**
     * Returns whether this replica is the leader.
     *
     * @return true for a leader, including one that has not yet detected the loss of its quorum
     */
    public boolean isLeader() {
        return leaderRole.isPresent();
    }

    /**
     * Returns whether this replica is the leader and knows every committed entry. A new leader does
     * once an entry of its own term is committed.
     *
     * @return true for a leader whose commit index is current
     */
    public boolean isLeaderWithCurrentCommitIndex() {
        return leaderRole.map(LeaderRole::hasCommittedInOwnTerm).orElse(false);
    }

    /**
     * Returns whether this replica is in contact with a quorum: as the leader through responses of
     * voters, as a follower through its leader.
     *
     * @param nowMillis current time
     * @return true if it is in contact with a quorum
     */
    public boolean hasQuorum(long nowMillis) {
        return leaderRole
                .map(leader -> leader.hasQuorum(nowMillis))
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
     * Returns the current membership.
     *
     * @return the latest membership in the log, committed or not
     */
    public Membership membership() {
        return state.membership();
    }

    /**
     * Returns the commit index.
     *
     * @return highest index known to be committed
     */
    public long commitIndex() {
        return state.commitIndex();
    }

    /**
     * Returns the last index of the log.
     *
     * @return index of the last entry
     */
    public long lastIndex() {
        return state.log.lastIndex();
    }

    /**
     * Returns the highest index at which another replica's log is known to match the leader's.
     *
     * @param member identity
     * @return the index, or empty if this replica is not the leader or the other not a member
     */
    public OptionalLong matchIndex(String member) {
        return leaderRole.map(leader -> leader.matchIndex(member)).orElse(OptionalLong.empty());
    }

    /**
     * Returns the time since the last response of each other member.
     *
     * @param nowMillis current time
     * @return time by identity, in milliseconds; empty unless this replica is the leader
     */
    public Map<String, Long> silentMillis(long nowMillis) {
        return leaderRole.map(leader -> leader.silentMillis(nowMillis)).orElse(Map.of());
    }

    private ProposalOutcome append(long nowMillis, Payload payload) {
        if (leaderRole.isEmpty()) {
            return new ProposalOutcome.NotLeader(state.leader());
        }
        long index = leaderRole.get().propose(nowMillis, payload);
        return new ProposalOutcome.Appended(index, state.term(), state.drain());
    }

    private void onLeaderTimer(long nowMillis, LeaderRole leader) {
        // Until its no-op entry is committed, a new leader may not know the latest commit index.
        boolean removed =
                leader.hasCommittedInOwnTerm()
                        && committedMembership().member(state.self).isEmpty();
        if (removed || !leader.hasQuorum(nowMillis)) {
            stepDown();
            state.resetElectionDeadline(nowMillis);
            return;
        }
        leader.sendHeartbeatIfDue(nowMillis);
        if (canChangeMembership(leader)) {
            leader.nextPromotion(nowMillis)
                    .ifPresent(
                            next -> leader.propose(nowMillis, new Payload.MembershipChange(next)));
        }
    }

    private Membership committedMembership() {
        return state.log.membershipAt(state.commitIndex());
    }

    private boolean canChangeMembership(LeaderRole leader) {
        return leader.hasCommittedInOwnTerm() && committedMembership().equals(state.membership());
    }

    private void startElection(long nowMillis) {
        CandidateRole candidate = new CandidateRole(state);
        candidateRole = Optional.of(candidate);
        if (candidate.start(nowMillis)) {
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

    /**
     * Returns whether a message is ignored. Vote requests of a higher term are, together with that
     * term, while this replica is in contact with a quorum.
     */
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
                    leaderRole.ifPresent(leader -> leader.receive(nowMillis, from, response));
                }
            }
            case Message.ConfirmRequest request ->
                    leaderRole.ifPresent(
                            leader -> leader.confirm(nowMillis, from, request.confirmation()));
            case Message.ConfirmResponse response ->
                    state.emit(new Effect.Confirmed(response.confirmation(), response.index()));
        }
    }

    /** Ends an election of this replica on a message of the current term's leader. */
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
        boolean canVote = state.vote().isEmpty() || state.vote().get().equals(from);
        boolean granted = upToDate && canVote && request.term() == state.term();
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
