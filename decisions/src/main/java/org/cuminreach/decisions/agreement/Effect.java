package org.cuminreach.decisions.agreement;

import java.util.List;
import java.util.Optional;

/**
 * What the process has to do, in the order given. Each save must be synced to disk before any later
 * effect is carried out; a process that cannot sync must stop.
 */
public sealed interface Effect {
    /**
     * Save the term and the vote.
     *
     * @param term latest term
     * @param vote identity voted for in it
     */
    record SaveVote(long term, Optional<String> vote) implements Effect {}

    /**
     * Cut the log before the first entry's index and append the entries.
     *
     * @param entries the entries, at least one
     */
    record SaveEntries(List<LogEntry> entries) implements Effect {}

    /**
     * Save a snapshot and drop the entries it replaces.
     *
     * @param snapshot the snapshot
     * @param keepLaterEntries false when every entry in the log is to go
     */
    record SaveSnapshot(Snapshot snapshot, boolean keepLaterEntries) implements Effect {}

    /**
     * Send a message; it may be lost.
     *
     * @param to identity of the receiver
     * @param message the message
     */
    record Send(String to, Message message) implements Effect {}

    /**
     * Apply a committed entry to the replicated state.
     *
     * @param entry the entry; each index comes once and in order
     */
    record Apply(LogEntry entry) implements Effect {}

    /**
     * Replace the replicated state by that of a snapshot.
     *
     * @param snapshot the snapshot
     */
    record Restore(Snapshot snapshot) implements Effect {}

    /**
     * A quorum has confirmed the leader since the confirmation was asked for.
     *
     * @param confirmation number given to {@link Replica#confirm}
     * @param index the state is confirmed once this index has been applied
     */
    record Confirmed(long confirmation, long index) implements Effect {}

    /**
     * The replica's view of the leader changed.
     *
     * @param term the term
     * @param leader identity of the leader, or empty
     */
    record LeaderChanged(long term, Optional<String> leader) implements Effect {}
}
