package org.cuminreach.decisions.admission;

import java.util.Optional;
import org.cuminreach.decisions.routing.CallRateLimit;

/**
 * Capacity of a target: its slots, of which fewer are used while that makes calls faster, and the
 * rate of calls that it states as its limit or withstands while it is cold. Not thread-safe.
 */
final class TargetCapacity {
    /** Weight of the latest call in the mean running time, which adapts within about ten calls. */
    private static final double SMOOTHING = 0.1;

    /** Running time that is assumed until the first call has ended, in milliseconds. */
    private static final double INITIAL_RUN_MILLIS = 5;

    /** Share of each running time by which the shortest one drifts up, so that it is forgotten. */
    private static final double MIN_RUN_DRIFT = 0.001;

    private static final double MILLIS_PER_SECOND = 1_000;

    private ConcurrencyLimit concurrency;
    private final SlotReserve reserve = new SlotReserve();
    private final StartRate rate = new StartRate();
    private double meanRunMillis = INITIAL_RUN_MILLIS;
    private double minRunMillis;

    TargetCapacity(int slots) {
        concurrency = new ConcurrencyLimit(slots);
    }

    void resize(int slots) {
        concurrency = new ConcurrencyLimit(slots);
    }

    void setRateLimit(CallRateLimit limit, long nowMillis) {
        rate.setLimit(limit, nowMillis);
    }

    void setColdLimit(Optional<ColdLimit> limit, long nowMillis) {
        rate.setColdLimit(limit, nowMillis);
    }

    double meanRunMillis() {
        return meanRunMillis;
    }

    double minRunMillis() {
        return minRunMillis;
    }

    void recordArrival(int priority, double runMillis, long nowMillis) {
        reserve.recordArrival(priority, runMillis, nowMillis);
        rate.recordArrival(priority, nowMillis);
    }

    /** Tells whether a call may start while others run. */
    boolean allowsStart(int running, int priority, long nowMillis) {
        int slots = concurrency.maxCalls();
        int usable = Math.max(1, slots - reserve.reserved(priority, slots, nowMillis));
        return running < usable && isWithinRate(nowMillis);
    }

    /** Tells whether the rate limit lets a call start now. */
    boolean isWithinRate(long nowMillis) {
        return rate.allowsStart(nowMillis);
    }

    void recordStart(long nowMillis) {
        rate.recordStart(nowMillis);
    }

    /** Takes back the start of a call that was not sent. */
    void cancelStart() {
        rate.cancelStart();
    }

    /** Records the end of a call; its slowness is relative to the usual time of such a call. */
    void recordEnd(double runMillis, double slowness, long nowMillis) {
        recordRunTime(runMillis);
        concurrency.recordRunTime(slowness, nowMillis);
    }

    /**
     * Records the end of a call without a success. Its running time would have been at least the
     * elapsed time, which says something only if that is longer than usual, or than the mean where
     * the usual time is not known and the slowness is 1.
     */
    void recordFailure(double elapsedMillis, double slowness, long nowMillis) {
        if (slowness >= 1 && elapsedMillis > meanRunMillis) {
            recordRunTime(elapsedMillis);
        }
        if (slowness > 1) {
            concurrency.recordRunTime(slowness, nowMillis);
        }
    }

    private void recordRunTime(double runMillis) {
        meanRunMillis += SMOOTHING * (runMillis - meanRunMillis);
        minRunMillis = Math.min(runMillis, minRunMillis + MIN_RUN_DRIFT * runMillis);
    }

    /** Returns the calls that the target can sustain at once, at least 1. */
    int sustainableCalls() {
        double atLimit = Math.ceil(rate.callsPerSecond() * meanRunMillis / MILLIS_PER_SECOND);
        return (int) Math.clamp(atLimit, 1, concurrency.maxCalls());
    }

    /**
     * Estimates how long a call waits for a slot and for its turn under the rate limit.
     *
     * @param runMillisAhead total running time of the calls that start before it, in milliseconds
     * @param callsAhead number of these calls
     * @param priority its priority
     * @param nowMillis current time
     * @return the wait in milliseconds
     */
    double waitMillis(double runMillisAhead, int callsAhead, int priority, long nowMillis) {
        double slots = reserve.remaining(priority, concurrency.maxCalls(), nowMillis);
        return Math.max(
                (meanRunMillis + runMillisAhead) / slots,
                rate.waitMillis(callsAhead, priority, nowMillis));
    }

    /** Estimates the time after which a call finds room behind others, in milliseconds. */
    double nextFreeMillis(int waiting, int priority, long nowMillis) {
        return Math.max(
                meanRunMillis * (waiting + 1) / concurrency.maxCalls(),
                rate.waitMillis(waiting, priority, nowMillis));
    }
}
