package org.cuminreach.decisions.agreement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Records the actions of all replicas and checks the safety properties of Raft. */
final class SafetyChecker {
    private final Map<Long, String> leaders = new HashMap<>();
    private final TreeMap<Long, LogEntry> committed = new TreeMap<>();

    long lastCommitted() {
        return committed.isEmpty() ? 0 : committed.lastKey();
    }

    Optional<LogEntry> committed(long index) {
        return Optional.ofNullable(committed.get(index));
    }

    /** Checks election safety and leader completeness. */
    void recordLeader(String replica, long term, FakeDisk disk) {
        String other = leaders.putIfAbsent(term, replica);
        require(
                other == null || other.equals(replica),
                "two leaders in term " + term + ": " + other + " and " + replica);
        if (other == null) {
            requireCommittedEntries(replica, disk, lastCommitted());
        }
    }

    /**
     * Checks state machine safety: all replicas apply the same entry at an index, and each applies
     * the entries in order.
     */
    void recordApplied(String replica, long before, LogEntry entry) {
        require(
                entry.index() == before + 1,
                replica + " applied index " + entry.index() + " after " + before);
        LogEntry known = committed.putIfAbsent(entry.index(), entry);
        require(
                known == null || known.equals(entry),
                replica + " applied " + entry + " although " + known + " was committed");
    }

    /** Checks that the last entry of a restored snapshot is committed. */
    void recordRestored(String replica, Snapshot snapshot) {
        LogEntry last = committed.get(snapshot.lastIndex());
        require(
                last != null && last.term() == snapshot.lastTerm(),
                replica + " restored a snapshot whose last entry was not committed");
    }

    /** Checks log matching: logs with an entry of equal index and term are equal up to it. */
    void checkLogMatching(Collection<FakeDisk> disks) {
        for (FakeDisk one : disks) {
            for (FakeDisk other : disks) {
                compare(one, other);
            }
        }
    }

    private static void compare(FakeDisk one, FakeDisk other) {
        boolean matched = false;
        long first = Math.max(one.snapshotIndex(), other.snapshotIndex()) + 1;
        for (long index = Math.min(one.lastIndex(), other.lastIndex()); index >= first; index--) {
            LogEntry left = one.entry(index).orElseThrow();
            LogEntry right = other.entry(index).orElseThrow();
            matched |= left.term() == right.term();
            require(!matched || left.equals(right), "logs differ before a matching entry: " + left);
        }
    }

    private void requireCommittedEntries(String replica, FakeDisk disk, long last) {
        for (long index = disk.snapshotIndex() + 1; index <= last; index++) {
            Optional<LogEntry> held = disk.entry(index);
            require(
                    held.equals(committed(index)),
                    replica + " leads without committed entry " + index);
        }
    }

    static void require(boolean condition, String violation) {
        if (!condition) {
            throw new AssertionError(violation);
        }
    }
}
