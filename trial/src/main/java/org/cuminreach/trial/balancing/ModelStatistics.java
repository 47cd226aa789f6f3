package org.cuminreach.trial.balancing;

import org.HdrHistogram.Histogram;
import org.cuminreach.decisions.retry.AttemptOutcome;

/** What came of the calls of a model since its trouble began. */
final class ModelStatistics {
    private static final long MAX_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double PER_CENT = 100;

    private final Histogram micros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private boolean counting;
    private long recordSent;
    private long local;
    private long recordRefused;
    private long failed;

    void startCounting() {
        counting = true;
    }

    void recordSent(boolean inOwnDataCentre) {
        if (counting) {
            recordSent++;
            local += inOwnDataCentre ? 1 : 0;
        }
    }

    void recordRefused() {
        recordRefused += counting ? 1 : 0;
    }

    void recordGivenUp(AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.NotRun) {
            recordRefused();
        } else {
            failed += counting ? 1 : 0;
        }
    }

    void recordAnswer(boolean whole, long tookMicros) {
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
        double all = micros.getTotalCount() + recordRefused + failed;
        return "%8.1f %8.1f %8.2f %8.2f %8.1f"
                .formatted(
                        micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                        micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                        PER_CENT * recordRefused / all,
                        PER_CENT * failed / all,
                        PER_CENT * local / recordSent);
    }
}
