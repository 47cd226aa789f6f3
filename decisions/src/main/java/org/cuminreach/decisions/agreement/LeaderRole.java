package org.cuminreach.decisions.agreement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Leader role: replication, commit, heartbeats and leadership confirmation by a quorum. */
final class LeaderRole {
    /** Election timeouts after which a follower starts an election at the latest. */
    private static final int MAX_ELECTION_TIMEOUTS = 2;

    /** A confirmation that is completed once a quorum has responded to a broadcast round. */
    private record PendingConfirmation(String from, long confirmation, long index, long round) {}

    private final ReplicaState state;
    private final Map<String, Progress> progress = new HashMap<>();
    private final List<PendingConfirmation> pendingConfirmations = new ArrayList<>();
    private final long noOpIndex;
    private long round;
    private long lastBroadcastMillis;

    LeaderRole(ReplicaState state, long nowMillis) {
        this.state = state;
        this.noOpIndex = state.log.lastIndex() + 1;
        state.previousLeader()
                .filter(leader -> state.membership().member(leader).isPresent())
                .ifPresent(
                        leader ->
                                progress.put(
                                        leader,
                                        new Progress(
                                                noOpIndex,
                                                nowMillis,
                                                previousLeaderContactMillis(nowMillis))));
        propose(nowMillis, new Payload.NoOp());
    }

    /**
     * Returns since when the previous leader counts as silent. The time without a leader counts,
     * but not more of it than an election takes: this replica may have been cut off itself.
     */
    private long previousLeaderContactMillis(long nowMillis) {
        long longestElectionMillis = MAX_ELECTION_TIMEOUTS * state.settings.electionTimeoutMillis();
        return Math.max(state.lastLeaderContactMillis(), nowMillis - longestElectionMillis);
    }

    long propose(long nowMillis, Payload payload) {
        long index = state.log.lastIndex() + 1;
        state.append(List.of(new LogEntry(index, state.term(), payload)));
        trackMembers(nowMillis);
        broadcast(nowMillis, false);
        advanceCommit();
        return index;
    }

    void sendHeartbeatIfDue(long nowMillis) {
        if (nowMillis - lastBroadcastMillis >= state.settings.heartbeatMillis()) {
            broadcast(nowMillis, true);
        }
    }

    boolean hasQuorum(long nowMillis) {
        long span = state.settings.electionTimeoutMillis();
        return state.membership()
                .hasQuorum(
                        voter ->
                                voter.equals(state.self)
                                        || progress.containsKey(voter)
                                                && progress.get(voter)
                                                        .respondedWithin(nowMillis, span));
    }

    /** Returns true once an entry of this leader's own term is committed. */
    boolean hasCommittedInOwnTerm() {
        return state.commitIndex() >= noOpIndex;
    }

    /** Returns the highest index known to match on a replica, or empty if it is not a member. */
    OptionalLong matchIndex(String member) {
        Progress peer = progress.get(member);
        return peer == null ? OptionalLong.empty() : OptionalLong.of(peer.matchIndex());
    }

    /** Returns a membership that promotes a learner that has caught up, if there is one. */
    Optional<Membership> nextPromotion(long nowMillis) {
        return state.membership().members().stream()
                .filter(member -> !member.voter())
                .filter(member -> hasCaughtUp(nowMillis, member.id()))
                .findFirst()
                .map(
                        learner ->
                                state.membership()
                                        .with(new Member(learner.id(), learner.address(), true)));
    }

    /** Finds a new voter of a membership that has not caught up as a learner. */
    Optional<String> findVoterNotCaughtUp(long nowMillis, Membership next) {
        return next.voters().stream()
                .filter(voter -> !state.membership().isVoter(voter))
                .filter(voter -> !hasCaughtUp(nowMillis, voter))
                .findFirst();
    }

    /** Returns the time since the last response of each other member, in milliseconds. */
    Map<String, Long> silentMillis(long nowMillis) {
        Map<String, Long> silentMillis = new HashMap<>();
        progress.forEach((id, peer) -> silentMillis.put(id, peer.silentMillis(nowMillis)));
        return silentMillis;
    }

    private boolean hasCaughtUp(long nowMillis, String member) {
        Progress peer = progress.get(member);
        return peer != null
                && peer.respondedWithin(nowMillis, state.settings.electionTimeoutMillis())
                && peer.matchIndex() >= state.commitIndex();
    }

    void receive(long nowMillis, String from, Message.AppendResponse response) {
        Progress peer = progress.get(from);
        if (peer == null) {
            return;
        }
        peer.recordResponse(nowMillis, response.round());
        if (response.success()) {
            peer.recordMatch(response.matchIndex());
            advanceCommit();
        } else {
            peer.recordMismatch(response.matchIndex());
        }
        completeConfirmations();
        if (peer.nextIndex() <= state.log.lastIndex()) {
            sendEntries(from, peer);
        }
    }

    void confirm(long nowMillis, String from, long confirmation) {
        boolean outstanding = !pendingConfirmations.isEmpty();
        pendingConfirmations.add(
                new PendingConfirmation(from, confirmation, readIndex(), round + 1));
        if (!outstanding) {
            broadcast(nowMillis, true);
        }
        completeConfirmations();
    }

    private long readIndex() {
        return Math.max(state.commitIndex(), noOpIndex);
    }

    private void trackMembers(long nowMillis) {
        for (Member member : state.membership().members()) {
            if (!member.id().equals(state.self)) {
                progress.computeIfAbsent(
                        member.id(),
                        id -> new Progress(state.log.lastIndex() + 1, nowMillis, nowMillis));
            }
        }
        progress.keySet().removeIf(id -> state.membership().member(id).isEmpty());
    }

    private void broadcast(long nowMillis, boolean resend) {
        round++;
        lastBroadcastMillis = nowMillis;
        progress.forEach(
                (id, peer) -> {
                    if (resend || !peer.awaitingResponse()) {
                        sendEntries(id, peer);
                    }
                });
    }

    private void sendEntries(String to, Progress peer) {
        peer.recordSent();
        long previous = peer.nextIndex() - 1;
        OptionalLong previousTerm = state.log.termAt(previous);
        if (previousTerm.isEmpty()) {
            state.send(to, new Message.SnapshotRequest(state.term(), state.log.snapshot(), round));
            return;
        }
        List<LogEntry> batch =
                state.log.batchFrom(peer.nextIndex(), state.settings.maxBatchBytes());
        state.send(
                to,
                new Message.AppendRequest(
                        state.term(),
                        previous,
                        previousTerm.getAsLong(),
                        batch,
                        state.commitIndex(),
                        round));
    }

    private void advanceCommit() {
        for (long index = state.log.lastIndex(); index > state.commitIndex(); index--) {
            if (state.log.termAt(index).orElseThrow() != state.term()) {
                return;
            }
            long candidate = index;
            boolean hasQuorum =
                    state.membership()
                            .hasQuorum(
                                    voter ->
                                            voter.equals(state.self)
                                                    || matchIndexOrZero(voter) >= candidate);
            if (hasQuorum) {
                state.commitTo(index);
                return;
            }
        }
    }

    private long matchIndexOrZero(String voter) {
        return matchIndex(voter).orElse(0);
    }

    private void completeConfirmations() {
        boolean completed = false;
        Iterator<PendingConfirmation> iterator = pendingConfirmations.iterator();
        while (iterator.hasNext()) {
            PendingConfirmation next = iterator.next();
            boolean confirmed =
                    hasCommittedInOwnTerm()
                            && state.membership()
                                    .hasQuorum(voter -> ackedRound(voter) >= next.round());
            if (!confirmed) {
                break;
            }
            iterator.remove();
            completed = true;
            complete(next);
        }
        if (completed && !pendingConfirmations.isEmpty()) {
            broadcast(lastBroadcastMillis, true);
        }
    }

    private long ackedRound(String voter) {
        if (voter.equals(state.self)) {
            return round;
        }
        Progress peer = progress.get(voter);
        return peer == null ? 0 : peer.ackedRound();
    }

    private void complete(PendingConfirmation next) {
        if (next.from().equals(state.self)) {
            state.emit(new Effect.Confirmed(next.confirmation(), next.index()));
            return;
        }
        state.send(
                next.from(),
                new Message.ConfirmResponse(state.term(), next.confirmation(), next.index()));
    }
}
