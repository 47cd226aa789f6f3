package org.cuminreach.decisions.rollout;

/**
 * Alternative hypotheses of a sequential test. Each one is a share of the events that would be good
 * at the expected rate and are bad in addition. Expected shares are rounded up to a grid, so that
 * the logarithms are computed only once.
 */
final class AlternativeHypotheses {
    static final AlternativeHypotheses OF_FAILURES = new AlternativeHypotheses(0.03, 0.1, 0.3, 0.9);
    static final AlternativeHypotheses OF_SLOWNESS = new AlternativeHypotheses(0.2, 0.5, 0.9);

    private static final int GRID_STEPS = 1_000;

    private final double[][] badLogRatios = new double[GRID_STEPS][];
    private final double[][] goodLogRatios = new double[GRID_STEPS][];
    private final int count;

    private AlternativeHypotheses(double... additionalShares) {
        count = additionalShares.length;
        for (int step = 1; step < GRID_STEPS; step++) {
            double expected = (double) step / GRID_STEPS;
            badLogRatios[step] = new double[count];
            goodLogRatios[step] = new double[count];
            for (int index = 0; index < count; index++) {
                double share = expected + (1 - expected) * additionalShares[index];
                badLogRatios[step][index] = Math.log(share / expected);
                goodLogRatios[step][index] = Math.log((1 - share) / (1 - expected));
            }
        }
    }

    int count() {
        return count;
    }

    /** Adds the log likelihood ratio of the events under each hypothesis. */
    void addLogRatios(double[] logRatios, long events, long badEvents, double expected) {
        int step = (int) Math.clamp(Math.ceil(expected * GRID_STEPS), 1, GRID_STEPS - 1);
        for (int index = 0; index < count; index++) {
            logRatios[index] +=
                    badEvents * badLogRatios[step][index]
                            + (events - badEvents) * goodLogRatios[step][index];
        }
    }
}
