package org.cuminreach.trial.balancing;

import org.HdrHistogram.Histogram;
import org.cuminreach.decisions.retry.AttemptOutcome;

/** Outcomes of the calls in a model since its fault began. */
final class ModelStatistics {
    private static final long MAX_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double PER_CENT = 100;

    private final Histogram micros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private boolean counting;
    private long sent;
    private long local;
    private long refused;
    private long failed;

    void startCounting() {
        counting = true;
    }

    void recordSent(boolean inLocalDataCentre) {
        if (counting) {
            sent++;
            local += inLocalDataCentre ? 1 : 0;
        }
    }

    void recordRefused() {
        refused += counting ? 1 : 0;
    }

    void recordGivenUp(AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.NotRun) {
            recordRefused();
        } else {
            failed += counting ? 1 : 0;
        }
    }

    void recordAnswer(boolean succeeded, long elapsedMicros) {
        if (!counting) {
            return;
        }
        if (succeeded) {
            micros.recordValue(elapsedMicros);
        } else {
            failed++;
        }
    }

    String row() {
        double total = micros.getTotalCount() + refused + failed;
        return "%8.1f %8.1f %8.2f %8.2f %8.1f"
                .formatted(
                        micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                        micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                        PER_CENT * refused / total,
                        PER_CENT * failed / total,
                        PER_CENT * local / sent);
    }
}
