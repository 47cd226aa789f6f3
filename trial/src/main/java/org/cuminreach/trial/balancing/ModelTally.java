package org.cuminreach.trial.balancing;

import org.HdrHistogram.Histogram;
import org.cuminreach.decisions.retry.AttemptOutcome;

/** What came of the calls of a model since its trouble began. */
final class ModelTally {
    private static final long HIGHEST_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double PER_CENT = 100;

    private final Histogram micros = new Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS);
    private boolean counting;
    private long sent;
    private long near;
    private long refused;
    private long failed;

    void start() {
        counting = true;
    }

    void sent(boolean inOwnDataCentre) {
        if (counting) {
            sent++;
            near += inOwnDataCentre ? 1 : 0;
        }
    }

    void refused() {
        refused += counting ? 1 : 0;
    }

    void gaveUp(AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.NotRun) {
            refused();
        } else {
            failed += counting ? 1 : 0;
        }
    }

    void answered(boolean whole, long tookMicros) {
        if (!counting) {
            return;
        }
        if (whole) {
            micros.recordValue(tookMicros);
        } else {
            failed++;
        }
    }

    String row() {
        double all = micros.getTotalCount() + refused + failed;
        return "%8.1f %8.1f %8.2f %8.2f %8.1f"
                .formatted(
                        micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                        micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                        PER_CENT * refused / all,
                        PER_CENT * failed / all,
                        PER_CENT * near / sent);
    }
}
