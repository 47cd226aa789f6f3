package org.cuminreach.decisions.admission;

/**
 * How many calls a target runs at once: its slots, or fewer while that makes its calls quicker.
 * When calls have become slower, the limit is cut; when the cut does not help, the slowness is not
 * of the target's making and is taken as normal. Not safe for use by several threads at once.
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

    /** Notes how long a call ran. */
    void recordRunTime(double ranMillis, long nowMillis) {
        if (windowCalls == 0) {
            windowStartMillis = nowMillis;
        }
        windowTotal += ranMillis;
        windowCalls++;
        if (windowCalls == CALLS_PER_WINDOW) {
            adapt(windowTotal / windowCalls, nowMillis - windowStartMillis);
            windowTotal = 0;
            windowCalls = 0;
        }
    }

    /** Adapts the limit; the window after a cut still holds calls that began before it. */
    private void adapt(double meanMillis, long tookMillis) {
        double drift = 1 + tookMillis / BASELINE_DOUBLING_MILLIS;
        if (skipWindow) {
            skipWindow = false;
            return;
        }
        baseline = Math.min(meanMillis, baseline * drift);
        if (meanMillis <= TOLERATED_SLOWDOWN * baseline) {
            limit = Math.min(slots, limit + 1);
            meanBeforeDecrease = Double.MAX_VALUE;
            return;
        }
        if (meanMillis > IMPROVEMENT_RATIO * meanBeforeDecrease) {
            // Fewer calls at once did not make them quicker: the target is slow for another reason.
            baseline = meanMillis;
            meanBeforeDecrease = Double.MAX_VALUE;
            limit = Math.min(slots, limit / DECREASE_FACTOR);
            return;
        }
        limit = Math.max(Math.max(1, MIN_SHARE_OF_SLOTS * slots), DECREASE_FACTOR * limit);
        meanBeforeDecrease = meanMillis;
        skipWindow = true;
    }
}
