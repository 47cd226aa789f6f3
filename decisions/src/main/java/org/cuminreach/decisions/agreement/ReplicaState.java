package org.cuminreach.decisions.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** State and basic operations that all roles of a replica share. */
final class ReplicaState {
    private static final long NEVER = Long.MIN_VALUE / 2;

    /**
     * Divisor of the election timeout for a replica without leader contact since its start. The
     * result has to be above the heartbeat interval.
     */
    private static final int INITIAL_TIMEOUT_DIVISOR = 4;

    final String self;
    final RaftSettings settings;
    final RandomGenerator random;
    final EntryLog log;
    private final List<Effect> effects = new ArrayList<>();

    private long term;
    private Optional<String> vote;
    private Optional<String> leader = Optional.empty();
    private Optional<String> previousLeader = Optional.empty();
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

    /** Returns the other replica that led most recently, if there was any since the start. */
    Optional<String> previousLeader() {
        return previousLeader;
    }

    /** Returns the time of the latest contact to another replica as the leader. */
    long lastLeaderContactMillis() {
        return lastLeaderContactMillis;
    }

    void recordLeaderContact(long nowMillis, String from) {
        lastLeaderContactMillis = nowMillis;
        previousLeader = Optional.of(from);
        resetElectionDeadline(nowMillis);
    }

    boolean hasLeaderContactWithin(long nowMillis, long spanMillis) {
        return nowMillis - lastLeaderContactMillis < spanMillis;
    }

    /**
     * Sets the time of the next election unless the leader makes contact before. A replica without
     * leader contact since its start uses a shorter timeout: after a failure of all replicas there
     * is no leader to wait for, and a leader in contact with the others is not disturbed by the
     * pre-vote.
     */
    void resetElectionDeadline(long nowMillis) {
        boolean hadLeader = lastLeaderContactMillis != NEVER;
        long timeout =
                hadLeader
                        ? settings.electionTimeoutMillis()
                        : Math.max(1, settings.electionTimeoutMillis() / INITIAL_TIMEOUT_DIVISOR);
        electionDeadlineMillis = nowMillis + timeout + random.nextLong(timeout);
    }

    boolean isElectionDue(long nowMillis) {
        return nowMillis >= electionDeadlineMillis;
    }

    /** Returns whether a log with this last entry is at least as up-to-date as this one. */
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
                    "cannot truncate committed entry "
                            + index
                            + "; commit index is "
                            + commitIndex);
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
