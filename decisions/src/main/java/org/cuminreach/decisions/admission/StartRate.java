package org.cuminreach.decisions.admission;

import org.cuminreach.decisions.routing.CallRateLimit;

/**
 * Token bucket that keeps the starts of calls at a target within the rate that the target states,
 * and estimates the waits that follow from it. Not thread-safe.
 */
final class StartRate {
    /**
     * Calls that a target gets even if it states a lower limit: only its answers tell when the
     * limit ends.
     */
    private static final double MIN_CALLS_PER_SECOND = 0.5;

    /** Time whose calls may start at once after a pause, in seconds. */
    private static final double BURST_SECONDS = 0.25;

    /** Time constant with which the arrival rate of a priority is averaged, in milliseconds. */
    private static final double ARRIVAL_DECAY_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private CallRateLimit limit = CallRateLimit.unlimited();
    private double callsPerSecond;
    private double tokens;
    private long refilledMillis;
    private final double[] arrivals = new double[AdmissionRequest.PRIORITIES];
    private final long[] arrivedMillis = new long[AdmissionRequest.PRIORITIES];

    /** Sets the limit; one that is new in force begins without tokens. */
    void setLimit(CallRateLimit stated, long nowMillis) {
        boolean wasLimited = isLimited();
        refill(nowMillis);
        limit = stated;
        if (stated instanceof CallRateLimit.PerSecond perSecond) {
            callsPerSecond = Math.max(MIN_CALLS_PER_SECOND, perSecond.callsPerSecond());
            tokens = wasLimited ? Math.min(tokens, maxTokens()) : 0;
            refilledMillis = nowMillis;
        }
    }

    boolean isLimited() {
        return limit instanceof CallRateLimit.PerSecond;
    }

    /** Returns the rate in force, or infinity without a limit. */
    double callsPerSecond() {
        return isLimited() ? callsPerSecond : Double.POSITIVE_INFINITY;
    }

    void recordArrival(int priority, long nowMillis) {
        if (isLimited()) {
            arrivals[priority] = arrivalsPerSecond(priority, nowMillis) + 1;
            arrivedMillis[priority] = nowMillis;
        }
    }

    boolean allowsStart(long nowMillis) {
        refill(nowMillis);
        return !isLimited() || tokens >= 1;
    }

    void recordStart(long nowMillis) {
        refill(nowMillis);
        tokens--;
    }

    /** Returns the token of a call that was not sent after all. */
    void cancelStart() {
        tokens++;
    }

    /**
     * Estimates the wait of a call.
     *
     * @param ahead calls that start before it
     * @param priority its priority; more urgent calls that arrive meanwhile start before it too
     * @param nowMillis current time
     * @return the wait in milliseconds, 0 without a limit
     */
    double waitMillis(int ahead, int priority, long nowMillis) {
        if (!isLimited()) {
            return 0;
        }
        refill(nowMillis);
        double missing = Math.max(0, ahead + 1 - tokens);
        return missing / remainingPerSecond(priority, nowMillis) * MILLIS_PER_SECOND;
    }

    private double remainingPerSecond(int priority, long nowMillis) {
        double remaining = callsPerSecond;
        for (int urgent = 0; urgent < priority; urgent++) {
            remaining -= arrivalsPerSecond(urgent, nowMillis);
        }
        return Math.max(MIN_CALLS_PER_SECOND, remaining);
    }

    private double arrivalsPerSecond(int priority, long nowMillis) {
        double elapsedMillis = (double) nowMillis - arrivedMillis[priority];
        return arrivals[priority] * Math.exp(-elapsedMillis / ARRIVAL_DECAY_MILLIS);
    }

    private double maxTokens() {
        return Math.max(1, BURST_SECONDS * callsPerSecond);
    }

    private void refill(long nowMillis) {
        if (isLimited() && nowMillis > refilledMillis) {
            double elapsedSeconds = (nowMillis - refilledMillis) / MILLIS_PER_SECOND;
            tokens = Math.min(maxTokens(), tokens + elapsedSeconds * callsPerSecond);
            refilledMillis = nowMillis;
        }
    }
}
