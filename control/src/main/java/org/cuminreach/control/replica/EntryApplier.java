package org.cuminreach.control.replica;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.decisions.agreement.Snapshot;
import org.cuminreach.decisions.configuration.SubmissionOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies committed entries to the replicated state, and completes the proposals and confirmations
 * that wait for them. After a restart the entries since the last snapshot are committed at once and
 * can take seconds, so they are applied in slices, between which the replica handles messages. Used
 * only by the writer thread.
 */
final class EntryApplier {
    private static final Logger LOGGER = LoggerFactory.getLogger(EntryApplier.class);

    /**
     * Duration after which a slice ends, in milliseconds; well below the interval of a leader's
     * heartbeats.
     */
    private static final long SLICE_MILLIS = 50;

    /**
     * Duration from which the application of all outstanding entries is logged, in milliseconds.
     */
    private static final long SLOW_MILLIS = 100;

    private final ReplicatedState state;
    private final PendingProposals proposals;
    private final PendingConfirmations confirmations;
    private final Deque<LogEntry> outstanding = new ArrayDeque<>();
    private long firstIndex;
    private long startedMillis;

    EntryApplier(
            ReplicatedState state, PendingProposals proposals, PendingConfirmations confirmations) {
        this.state = state;
        this.proposals = proposals;
        this.confirmations = confirmations;
    }

    /** Adds a committed entry, to be applied after all earlier ones. */
    void add(LogEntry entry, long nowMillis) {
        if (outstanding.isEmpty()) {
            firstIndex = entry.index();
            startedMillis = nowMillis;
        }
        outstanding.add(entry);
    }

    /** Tells whether entries are left to apply. */
    boolean hasOutstanding() {
        return !outstanding.isEmpty();
    }

    /** Applies outstanding entries, at least one, until the slice ends or none is left. */
    void applySlice(LongSupplier clockMillis, Completions completions) {
        if (outstanding.isEmpty()) {
            return;
        }
        long endMillis = clockMillis.getAsLong() + SLICE_MILLIS;
        do {
            LogEntry entry = outstanding.remove();
            Optional<SubmissionOutcome> outcome = state.apply(entry);
            proposals.completeApplied(entry, outcome, completions);
        } while (hasOutstanding() && clockMillis.getAsLong() < endMillis);
        state.publish(completions);
        confirmations.completeUpTo(state.appliedIndex(), completions);
        if (outstanding.isEmpty()) {
            logIfSlow(clockMillis.getAsLong() - startedMillis);
        }
    }

    /** Replaces the state with that of a snapshot, which covers all outstanding entries. */
    void restore(Snapshot snapshot, Completions completions) {
        outstanding.clear();
        state.restore(snapshot);
        proposals.completeSkipped(state.appliedIndex(), state::previousOutcome, completions);
        state.publish(completions);
        confirmations.completeUpTo(state.appliedIndex(), completions);
    }

    /** Records that a quorum has confirmed the leader, and the index that a read waits for. */
    void recordConfirmed(long confirmation, long index, Completions completions) {
        confirmations.recordConfirmed(confirmation, index);
        confirmations.completeUpTo(state.appliedIndex(), completions);
    }

    private void logIfSlow(long durationMillis) {
        if (durationMillis >= SLOW_MILLIS) {
            LOGGER.info(
                    "event=entries_applied first={} last={} duration_ms={}",
                    firstIndex,
                    state.appliedIndex(),
                    durationMillis);
        }
    }
}
