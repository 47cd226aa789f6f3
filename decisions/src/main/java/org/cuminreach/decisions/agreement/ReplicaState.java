package org.cuminreach.decisions.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** State and elementary steps that every role of a replica shares. */
final class ReplicaState {
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Part of the election timeout after which a starting replica campaigns; over a heartbeat. */
    private static final int INITIAL_TIMEOUT_DIVISOR = 4;

    final String self;
    final RaftSettings settings;
    final RandomGenerator random;
    final EntryLog log;
    private final List<Effect> effects = new ArrayList<>();

    private long term;
    private Optional<String> vote;
    private Optional<String> leader = Optional.empty();
    private long commitIndex;
    private long appliedIndex;
    private Membership membership;
    private long electionDeadlineMillis;
    private long lastLeaderContactMillis = NEVER;

    ReplicaState(String self, RaftSettings settings, RandomGenerator random, DurableState durable) {
        this.self = self;
        this.settings = settings;
        this.random = random;
        Snapshot snapshot =
                durable.snapshot()
                        .orElseGet(() -> new Snapshot(0, 0, Membership.empty(), new byte[0]));
        this.log = new EntryLog(snapshot, durable.entries());
        this.term = durable.term();
        this.vote = durable.vote();
        this.commitIndex = snapshot.lastIndex();
        this.appliedIndex = snapshot.lastIndex();
        this.membership = log.membershipAt(log.lastIndex());
    }

    long term() {
        return term;
    }

    Optional<String> vote() {
        return vote;
    }

    Optional<String> leader() {
        return leader;
    }

    long commitIndex() {
        return commitIndex;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    Membership membership() {
        return membership;
    }

    void emit(Effect effect) {
        effects.add(effect);
    }

    void send(String to, Message message) {
        effects.add(new Effect.Send(to, message));
    }

    List<Effect> drain() {
        List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    void enterTerm(long newTerm, Optional<String> newVote) {
        term = newTerm;
        vote = newVote;
        effects.add(new Effect.SaveVote(term, vote));
    }

    void setLeader(Optional<String> newLeader) {
        if (!leader.equals(newLeader)) {
            leader = newLeader;
            effects.add(new Effect.LeaderChanged(term, leader));
        }
    }

    void recordLeaderContact(long nowMillis) {
        lastLeaderContactMillis = nowMillis;
        resetElectionDeadline(nowMillis);
    }

    boolean hasLeaderContactWithin(long nowMillis, long spanMillis) {
        return nowMillis - lastLeaderContactMillis < spanMillis;
    }

    /**
     * Sets when to campaign unless a leader is heard. A replica that has heard none since its start
     * waits for a part of the time only: after the death of all there is nobody to wait for, and a
     * leader that the others hear is not disturbed by the pre-vote.
     */
    void resetElectionDeadline(long nowMillis) {
        boolean heard = lastLeaderContactMillis != NEVER;
        long timeout =
                heard
                        ? settings.electionTimeoutMillis()
                        : Math.max(1, settings.electionTimeoutMillis() / INITIAL_TIMEOUT_DIVISOR);
        electionDeadlineMillis = nowMillis + timeout + random.nextLong(timeout);
    }

    boolean isElectionDue(long nowMillis) {
        return nowMillis >= electionDeadlineMillis;
    }

    /** Tells whether another log with this end is at least as complete as this one. */
    boolean isUpToDate(long lastIndex, long lastTerm) {
        if (lastTerm != log.lastTerm()) {
            return lastTerm > log.lastTerm();
        }
        return lastIndex >= log.lastIndex();
    }

    void append(List<LogEntry> entries) {
        entries.forEach(log::append);
        effects.add(new Effect.SaveEntries(List.copyOf(entries)));
        membership = log.membershipAt(log.lastIndex());
    }

    void truncateFrom(long index) {
        if (index <= commitIndex) {
            throw new IllegalStateException(
                    "committed entry " + index + " would be cut; commit index is " + commitIndex);
        }
        log.truncateFrom(index);
        membership = log.membershipAt(log.lastIndex());
    }

    void commitTo(long index) {
        if (index <= commitIndex) {
            return;
        }
        commitIndex = index;
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            effects.add(new Effect.Apply(log.get(appliedIndex)));
        }
    }

    void install(Snapshot snapshot) {
        log.replaceWith(snapshot);
        commitIndex = snapshot.lastIndex();
        appliedIndex = snapshot.lastIndex();
        membership = snapshot.membership();
        effects.add(new Effect.SaveSnapshot(snapshot, false));
        effects.add(new Effect.Restore(snapshot));
    }

    void compact(long index, byte[] state) {
        long indexTerm = log.termAt(index).orElseThrow();
        Snapshot snapshot = new Snapshot(index, indexTerm, log.membershipAt(index), state);
        log.compactTo(snapshot);
        effects.add(new Effect.SaveSnapshot(snapshot, true));
    }
}
