package org.cuminreach.decisions.admission;

import java.util.Optional;
import org.cuminreach.decisions.routing.CallRateLimit;

/**
 * Token bucket that keeps the starts of calls at a target within the rate that the target states
 * and within what it withstands while it is cold, and estimates the waits that follow. Not
 * thread-safe.
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

    private CallRateLimit stated = CallRateLimit.unlimited();
    private Optional<ColdLimit> coldLimit = Optional.empty();
    private final RecentStarts recentStarts = new RecentStarts();
    private double callsPerSecond = Double.POSITIVE_INFINITY;
    private double tokens;
    private long refilledMillis;
    private final double[] arrivals = new double[AdmissionRequest.PRIORITIES];
    private final long[] arrivedMillis = new long[AdmissionRequest.PRIORITIES];

    /** Sets the limit that the target states. */
    void setLimit(CallRateLimit limit, long nowMillis) {
        stated = limit;
        update(nowMillis);
    }

    /** Sets what the target withstands now, or empty when it is warm. */
    void setColdLimit(Optional<ColdLimit> limit, long nowMillis) {
        coldLimit = limit;
        update(nowMillis);
    }

    /** Puts the lower rate in force; one that is new in force begins without tokens. */
    private void update(long nowMillis) {
        boolean wasLimited = isLimited();
        refill(nowMillis);
        double statedRate =
                stated instanceof CallRateLimit.PerSecond perSecond
                        ? Math.max(MIN_CALLS_PER_SECOND, perSecond.callsPerSecond())
                        : Double.POSITIVE_INFINITY;
        double coldRate = coldLimit.map(ColdLimit::callsPerSecond).orElse(Double.POSITIVE_INFINITY);
        callsPerSecond = Math.min(statedRate, coldRate);
        if (isLimited()) {
            tokens = wasLimited ? Math.min(tokens, maxTokens()) : 0;
            refilledMillis = nowMillis;
        }
    }

    boolean isLimited() {
        return callsPerSecond < Double.POSITIVE_INFINITY;
    }

    /** Returns the rate in force, or infinity without a limit. */
    double callsPerSecond() {
        return callsPerSecond;
    }

    void recordArrival(int priority, long nowMillis) {
        if (isLimited()) {
            arrivals[priority] = arrivalsPerSecond(priority, nowMillis) + 1;
            arrivedMillis[priority] = nowMillis;
        }
    }

    boolean allowsStart(long nowMillis) {
        refill(nowMillis);
        boolean isWithinBound =
                coldLimit.isEmpty() || recentStarts.count(nowMillis) < coldLimit.get().maxCalls();
        return !isLimited() || (tokens >= 1 && isWithinBound);
    }

    void recordStart(long nowMillis) {
        refill(nowMillis);
        tokens--;
        recentStarts.record(nowMillis);
    }

    /**
     * Returns the token of a call that was not sent after all. The call still counts among the
     * recent starts, as it is not known which of them it was.
     */
    void cancelStart() {
        tokens = isLimited() ? Math.min(maxTokens(), tokens + 1) : 0;
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
        double tokenWait = missing / remainingPerSecond(priority, nowMillis) * MILLIS_PER_SECOND;
        return Math.max(tokenWait, boundWaitMillis(nowMillis));
    }

    private double boundWaitMillis(long nowMillis) {
        return coldLimit
                .map(limit -> recentStarts.millisUntilBelow(limit.maxCalls(), nowMillis))
                .orElse(0L);
    }

    private double remainingPerSecond(int priority, long nowMillis) {
        double remaining = callsPerSecond;
        for (int urgent = 0; urgent < priority; urgent++) {
            remaining -= arrivalsPerSecond(urgent, nowMillis);
        }
        return Math.max(Math.min(MIN_CALLS_PER_SECOND, callsPerSecond), remaining);
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
