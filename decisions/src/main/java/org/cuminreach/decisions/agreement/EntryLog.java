package org.cuminreach.decisions.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** In-memory log of the entries after the latest snapshot. */
final class EntryLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private Snapshot snapshot;

    EntryLog(Snapshot snapshot, List<LogEntry> entries) {
        this.snapshot = snapshot;
        this.entries.addAll(entries);
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long lastIndex() {
        return snapshot.lastIndex() + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? snapshot.lastTerm() : entries.getLast().term();
    }

    OptionalLong termAt(long index) {
        if (index == snapshot.lastIndex()) {
            return OptionalLong.of(snapshot.lastTerm());
        }
        if (index < snapshot.lastIndex() || index > lastIndex()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(get(index).term());
    }

    LogEntry get(long index) {
        return entries.get((int) (index - snapshot.lastIndex() - 1));
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "cannot append entry "
                            + entry.index()
                            + " to a log that ends at "
                            + lastIndex());
        }
        entries.add(entry);
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - snapshot.lastIndex() - 1), entries.size()).clear();
    }

    /** Returns the entries from an index on up to a size, but at least one if there is any. */
    List<LogEntry> batchFrom(long index, int maxBytes) {
        List<LogEntry> batch = new ArrayList<>();
        int bytes = 0;
        for (long next = index; next <= lastIndex(); next++) {
            LogEntry entry = get(next);
            bytes += entry.payload().sizeBytes();
            if (!batch.isEmpty() && bytes > maxBytes) {
                break;
            }
            batch.add(entry);
        }
        return batch;
    }

    /** Returns the membership as of an index: that of the latest change up to and including it. */
    Membership membershipAt(long index) {
        for (long i = Math.min(index, lastIndex()); i > snapshot.lastIndex(); i--) {
            if (get(i).payload() instanceof Payload.MembershipChange change) {
                return change.membership();
            }
        }
        return snapshot.membership();
    }

    void replaceWith(Snapshot replacement) {
        entries.clear();
        snapshot = replacement;
    }

    void compactTo(Snapshot replacement) {
        entries.subList(0, (int) (replacement.lastIndex() - snapshot.lastIndex())).clear();
        snapshot = replacement;
    }
}
