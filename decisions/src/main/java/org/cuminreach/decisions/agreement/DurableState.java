package org.cuminreach.decisions.agreement;

import java.util.List;
import java.util.Optional;

/**
 * What a replica finds on its disk when it starts.
 *
 * @param term latest term seen
 * @param vote identity voted for in that term
 * @param snapshot latest snapshot; a new group of replicas starts from one at index 0
 * @param entries the entries after the snapshot, without a gap
 */
public record DurableState(
        long term, Optional<String> vote, Optional<Snapshot> snapshot, List<LogEntry> entries) {
    /** Copies the list. */
    public DurableState {
        entries = List.copyOf(entries);
    }

    /**
     * Returns the state of a replica that has not joined.
     *
     * @return an empty state
     */
    public static DurableState empty() {
        return new DurableState(0, Optional.empty(), Optional.empty(), List.of());
    }

    /**
     * Returns the state in which every first replica of a new group starts.
     *
     * @param membership the first membership, the same on each of them
     * @param state the encoded state before any command
     * @return a state with a snapshot at index 0
     */
    public static DurableState initial(Membership membership, byte[] state) {
        Snapshot snapshot = new Snapshot(0, 0, membership, state);
        return new DurableState(0, Optional.empty(), Optional.of(snapshot), List.of());
    }
}
