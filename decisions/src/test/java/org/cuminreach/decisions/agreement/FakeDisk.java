package org.cuminreach.decisions.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** In-memory disk of a replica. Only saved state survives a crash of the replica. */
final class FakeDisk {
    private long term;
    private Optional<String> vote = Optional.empty();
    private Optional<Snapshot> snapshot = Optional.empty();
    private final List<LogEntry> entries = new ArrayList<>();

    static FakeDisk initial(Membership membership) {
        FakeDisk disk = new FakeDisk();
        disk.snapshot = DurableState.initial(membership, new byte[0]).snapshot();
        return disk;
    }

    DurableState load() {
        return new DurableState(term, vote, snapshot, entries);
    }

    void save(Effect.SaveVote save) {
        term = save.term();
        vote = save.vote();
    }

    void save(Effect.SaveEntries save) {
        long first = save.entries().getFirst().index();
        entries.removeIf(entry -> entry.index() >= first);
        entries.addAll(save.entries());
    }

    void save(Effect.SaveSnapshot save) {
        snapshot = Optional.of(save.snapshot());
        long last = save.snapshot().lastIndex();
        entries.removeIf(entry -> !save.keepLaterEntries() || entry.index() <= last);
    }

    long snapshotIndex() {
        return snapshot.map(Snapshot::lastIndex).orElse(0L);
    }

    long lastIndex() {
        return snapshotIndex() + entries.size();
    }

    /** Returns the entry at an index, or empty if a snapshot covers it or the log is shorter. */
    Optional<LogEntry> entry(long index) {
        return entries.stream().filter(entry -> entry.index() == index).findFirst();
    }
}
