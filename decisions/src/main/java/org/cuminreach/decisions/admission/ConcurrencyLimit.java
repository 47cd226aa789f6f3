package org.cuminreach.decisions.admission;

/**
 * How many calls a target runs at once: its slots, or fewer while that makes its calls quicker.
 * When calls have become slower, the limit is cut; when the cut does not help, the slowness is not
 * of the target's making and is taken as normal. Not safe for use by several threads at once.
 */
final class ConcurrencyLimit {
    private static final int CALLS_PER_WINDOW = 50;
    private static final double TOLERATED_SLOWDOWN = 1.5;
    private static final double CUT = 0.7;
    private static final double HELPED_BELOW = 0.9;
    private static final double BEST_DOUBLES_MILLIS = 60_000;
    private static final double LEAST_SHARE_OF_SLOTS = 0.34;

    private final int slots;
    private double limit;
    private double bestMillis = Double.MAX_VALUE;
    private double meanBeforeCutMillis = Double.MAX_VALUE;
    private boolean settling;
    private double windowMillis;
    private int windowCalls;
    private long windowFromMillis;

    ConcurrencyLimit(int slots) {
        this.slots = slots;
        this.limit = slots;
    }

    int calls() {
        return (int) Math.max(1, Math.round(limit));
    }

    /** Notes how long a call ran. */
    void ended(double ranMillis, long nowMillis) {
        if (windowCalls == 0) {
            windowFromMillis = nowMillis;
        }
        windowMillis += ranMillis;
        windowCalls++;
        if (windowCalls == CALLS_PER_WINDOW) {
            adapt(windowMillis / windowCalls, nowMillis - windowFromMillis);
            windowMillis = 0;
            windowCalls = 0;
        }
    }

    /** Adapts the limit; the window after a cut still holds calls that began before it. */
    private void adapt(double meanMillis, long tookMillis) {
        double drift = 1 + tookMillis / BEST_DOUBLES_MILLIS;
        if (settling) {
            settling = false;
            return;
        }
        bestMillis = Math.min(meanMillis, bestMillis * drift);
        if (meanMillis <= TOLERATED_SLOWDOWN * bestMillis) {
            limit = Math.min(slots, limit + 1);
            meanBeforeCutMillis = Double.MAX_VALUE;
            return;
        }
        if (meanMillis > HELPED_BELOW * meanBeforeCutMillis) {
            // Fewer calls at once did not make them quicker: the target is slow for another reason.
            bestMillis = meanMillis;
            meanBeforeCutMillis = Double.MAX_VALUE;
            limit = Math.min(slots, limit / CUT);
            return;
        }
        limit = Math.max(Math.max(1, LEAST_SHARE_OF_SLOTS * slots), CUT * limit);
        meanBeforeCutMillis = meanMillis;
        settling = true;
    }
}
