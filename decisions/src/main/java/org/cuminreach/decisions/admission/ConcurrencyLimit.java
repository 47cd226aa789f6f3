package org.cuminreach.decisions.admission;

/**
 * Adaptive limit on the calls that a target runs at once: its slots, or fewer while that makes
 * calls faster. The limit is decreased when calls have become slower. If that does not help,
 * concurrency is not the cause, and the slower running time becomes the new baseline. Not
 * thread-safe.
 */
final class ConcurrencyLimit {
    private static final int CALLS_PER_WINDOW = 50;
    private static final double TOLERATED_SLOWDOWN = 1.5;
    private static final double DECREASE_FACTOR = 0.7;
    private static final double IMPROVEMENT_RATIO = 0.9;
    private static final double BASELINE_DOUBLING_MILLIS = 60_000;
    private static final double MIN_SHARE_OF_SLOTS = 0.34;

    private final int slots;
    private double limit;
    private double baseline = Double.MAX_VALUE;
    private double meanBeforeDecrease = Double.MAX_VALUE;
    private boolean skipWindow;
    private double windowTotal;
    private int windowCalls;
    private long windowStartMillis;

    ConcurrencyLimit(int slots) {
        this.slots = slots;
        this.limit = slots;
    }

    int maxCalls() {
        return (int) Math.max(1, Math.round(limit));
    }

    /**
     * Records the running time of a call. Any unit will do, such as a multiple of the typical time,
     * as only ratios of running times matter.
     */
    void recordRunTime(double runTime, long nowMillis) {
        if (windowCalls == 0) {
            windowStartMillis = nowMillis;
        }
        windowTotal += runTime;
        windowCalls++;
        if (windowCalls == CALLS_PER_WINDOW) {
            adapt(windowTotal / windowCalls, nowMillis - windowStartMillis);
            windowTotal = 0;
            windowCalls = 0;
        }
    }

    /**
     * Adapts the limit. Skips the window after a decrease, which still has calls that began before
     * it.
     */
    private void adapt(double mean, long windowMillis) {
        double drift = 1 + windowMillis / BASELINE_DOUBLING_MILLIS;
        if (skipWindow) {
            skipWindow = false;
            return;
        }
        baseline = Math.min(mean, baseline * drift);
        if (mean <= TOLERATED_SLOWDOWN * baseline) {
            limit = Math.min(slots, limit + 1);
            meanBeforeDecrease = Double.MAX_VALUE;
            return;
        }
        if (mean > IMPROVEMENT_RATIO * meanBeforeDecrease) {
            // Lower concurrency did not make calls faster: the target is slow for another reason.
            baseline = mean;
            meanBeforeDecrease = Double.MAX_VALUE;
            limit = Math.min(slots, limit / DECREASE_FACTOR);
            return;
        }
        limit = Math.max(Math.max(1, MIN_SHARE_OF_SLOTS * slots), DECREASE_FACTOR * limit);
        meanBeforeDecrease = mean;
        skipWindow = true;
    }
}
