package org.cuminreach.decisions.agreement;

import java.util.List;
import java.util.Optional;

/**
 * The state that a replica loads from its disk when it starts.
 *
 * @param term latest term seen
 * @param vote identity that received this replica's vote in that term
 * @param snapshot latest snapshot; the first replicas of a new group start from one at index 0
 * @param entries the entries after the snapshot, without gaps
 */
public record DurableState(
        long term, Optional<String> vote, Optional<Snapshot> snapshot, List<LogEntry> entries) {
    /** Makes a defensive copy of the list. */
    public DurableState {
        entries = List.copyOf(entries);
    }

    /**
     * Returns the state of a replica that has not joined a group.
     *
     * @return an empty state
     */
    public static DurableState empty() {
        return new DurableState(0, Optional.empty(), Optional.empty(), List.of());
    }

    /**
     * Returns the state from which each of the first replicas of a new group starts.
     *
     * @param membership the initial membership, the same on each of them
     * @param state the encoded replicated state before the first command
     * @return a state with a snapshot at index 0
     */
    public static DurableState initial(Membership membership, byte[] state) {
        Snapshot snapshot = new Snapshot(0, 0, membership, state);
        return new DurableState(0, Optional.empty(), Optional.of(snapshot), List.of());
    }
}
