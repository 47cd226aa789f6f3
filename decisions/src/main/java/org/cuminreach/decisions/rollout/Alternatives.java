package org.cuminreach.decisions.rollout;

/**
 * Alternatives of a test: shares of the events that are not bad by themselves which would be bad in
 * addition. Expected shares are rounded up to a grid, so that logarithms are taken only once.
 */
final class Alternatives {
    static final Alternatives OF_FAILURES = new Alternatives(0.03, 0.1, 0.3, 0.9);
    static final Alternatives OF_SLOWNESS = new Alternatives(0.2, 0.5, 0.9);

    private static final int GRID = 1_000;

    private final double[][] bad = new double[GRID][];
    private final double[][] good = new double[GRID][];
    private final int count;

    private Alternatives(double... sharesOfRest) {
        count = sharesOfRest.length;
        for (int step = 1; step < GRID; step++) {
            double expected = (double) step / GRID;
            bad[step] = new double[count];
            good[step] = new double[count];
            for (int index = 0; index < count; index++) {
                double share = expected + (1 - expected) * sharesOfRest[index];
                bad[step][index] = Math.log(share / expected);
                good[step][index] = Math.log((1 - share) / (1 - expected));
            }
        }
    }

    int count() {
        return count;
    }

    /** Adds the logarithms of the likelihood ratios of some events. */
    void addTo(double[] ratios, long events, long badEvents, double expected) {
        int step = (int) Math.clamp(Math.ceil(expected * GRID), 1, GRID - 1);
        for (int index = 0; index < count; index++) {
            ratios[index] +=
                    badEvents * bad[step][index] + (events - badEvents) * good[step][index];
        }
    }
}
