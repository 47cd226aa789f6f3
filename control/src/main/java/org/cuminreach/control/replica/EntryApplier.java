package org.cuminreach.control.replica;

import java.util.Optional;
import org.cuminreach.decisions.agreement.LogEntry;
import org.cuminreach.decisions.agreement.Snapshot;
import org.cuminreach.decisions.configuration.SubmissionOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies committed entries to the replicated state, and completes the proposals and confirmations
 * that wait for them. Used only by the writer thread.
 */
final class EntryApplier {
    private static final Logger LOGGER = LoggerFactory.getLogger(EntryApplier.class);

    /** Duration from which the application of entries is logged, in milliseconds. */
    private static final long SLOW_MILLIS = 100;

    private final ReplicatedState state;
    private final PendingProposals proposals;
    private final PendingConfirmations confirmations;

    EntryApplier(
            ReplicatedState state, PendingProposals proposals, PendingConfirmations confirmations) {
        this.state = state;
        this.proposals = proposals;
        this.confirmations = confirmations;
    }

    void apply(LogEntry entry, Completions completions) {
        Optional<SubmissionOutcome> outcome = state.apply(entry, completions);
        proposals.completeApplied(entry, outcome, completions);
        confirmations.completeUpTo(state.appliedIndex(), completions);
    }

    /** Replaces the state with that of a snapshot. */
    void restore(Snapshot snapshot, Completions completions) {
        state.restore(snapshot, completions);
        proposals.completeSkipped(state.appliedIndex(), state::previousOutcome, completions);
        confirmations.completeUpTo(state.appliedIndex(), completions);
    }

    /** Records that a quorum has confirmed the leader, and the index that a read waits for. */
    void recordConfirmed(long confirmation, long index, Completions completions) {
        confirmations.recordConfirmed(confirmation, index);
        confirmations.completeUpTo(state.appliedIndex(), completions);
    }

    /** Logs the entries that were applied since an index, if that took long. */
    void logIfSlow(long firstIndex, long durationMillis) {
        if (durationMillis >= SLOW_MILLIS) {
            LOGGER.info(
                    "event=entries_applied first={} last={} duration_ms={}",
                    firstIndex,
                    state.appliedIndex(),
                    durationMillis);
        }
    }
}
