package org.cuminreach.decisions.agreement;

import java.util.List;
import java.util.Optional;

/**
 * An action that the process has to execute, in the order given. Each save must be synced to disk
 * before any later effect is executed; a process that fails to sync must stop.
 */
public sealed interface Effect {
    /**
     * Saves the term and the vote.
     *
     * @param term latest term
     * @param vote identity that received the vote in that term
     */
    record SaveVote(long term, Optional<String> vote) implements Effect {}

    /**
     * Truncates the log from the index of the first entry on, then appends the entries.
     *
     * @param entries the entries, at least one
     */
    record SaveEntries(List<LogEntry> entries) implements Effect {}

    /**
     * Saves a snapshot and deletes the entries that it replaces.
     *
     * @param snapshot the snapshot
     * @param keepLaterEntries false if the entries after the snapshot are deleted as well
     */
    record SaveSnapshot(Snapshot snapshot, boolean keepLaterEntries) implements Effect {}

    /**
     * Sends a message; delivery is not guaranteed.
     *
     * @param to identity of the recipient
     * @param message the message
     */
    record Send(String to, Message message) implements Effect {}

    /**
     * Applies a committed entry to the replicated state.
     *
     * @param entry the entry; indexes are consecutive, and each is applied once
     */
    record Apply(LogEntry entry) implements Effect {}

    /**
     * Replaces the replicated state with that of a snapshot.
     *
     * @param snapshot the snapshot
     */
    record Restore(Snapshot snapshot) implements Effect {}

    /**
     * Reports that a quorum has confirmed the leader since the confirmation was requested.
     *
     * @param confirmation number given to {@link Replica#confirm}
     * @param index read index: a read is linearizable once this index has been applied
     */
    record Confirmed(long confirmation, long index) implements Effect {}

    /**
     * Reports that the leader known to this replica has changed.
     *
     * @param term the term
     * @param leader identity of the leader, or empty if unknown
     */
    record LeaderChanged(long term, Optional<String> leader) implements Effect {}
}
