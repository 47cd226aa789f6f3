package org.cuminreach.decisions.agreement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** What all replicas together have done, and the rules that it must keep. */
final class SafetyChecker {
    private final Map<Long, String> leaders = new HashMap<>();
    private final TreeMap<Long, LogEntry> committed = new TreeMap<>();

    long lastCommitted() {
        return committed.isEmpty() ? 0 : committed.lastKey();
    }

    Optional<LogEntry> committed(long index) {
        return Optional.ofNullable(committed.get(index));
    }

    /** Election safety and leader completeness. */
    void recordLeader(String replica, long term, FakeDisk disk) {
        String other = leaders.putIfAbsent(term, replica);
        require(
                other == null || other.equals(replica),
                "two leaders in term " + term + ": " + other + " and " + replica);
        if (other == null) {
            requireCommittedEntries(replica, disk, lastCommitted());
        }
    }

    /** State machine safety: each index has one entry, and each replica applies it in order. */
    void recordApplied(String replica, long before, LogEntry entry) {
        require(
                entry.index() == before + 1,
                replica + " applies " + entry.index() + " after " + before);
        LogEntry known = committed.putIfAbsent(entry.index(), entry);
        require(
                known == null || known.equals(entry),
                replica + " applies " + entry + " where " + known + " was committed");
    }

    /** A replica that restores a snapshot must not know less than was committed there. */
    void recordRestored(String replica, Snapshot snapshot) {
        LogEntry last = committed.get(snapshot.lastIndex());
        require(
                last != null && last.term() == snapshot.lastTerm(),
                replica + " restores a snapshot of something never committed");
    }

    /** Log matching: equal index and term mean that everything up to there is equal. */
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
            require(!matched || left.equals(right), "logs differ below a match: " + left);
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

    static void require(boolean kept, String violation) {
        if (!kept) {
            throw new AssertionError(violation);
        }
    }
}
