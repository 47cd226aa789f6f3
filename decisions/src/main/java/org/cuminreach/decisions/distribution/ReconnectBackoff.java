package org.cuminreach.decisions.distribution;

import java.util.random.RandomGenerator;

/**
 * Backoff with decorrelated jitter between connection attempts: a random delay between the minimum
 * and three times the last delay, up to a maximum. Not thread-safe.
 */
public final class ReconnectBackoff {
    private static final long GROWTH_FACTOR = 3;

    private final long minMillis;
    private final long maxMillis;
    private long lastMillis;

    private ReconnectBackoff(long minMillis, long maxMillis) {
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.lastMillis = minMillis;
    }

    /**
     * Returns a backoff in its initial state.
     *
     * @param minMillis minimum delay, in milliseconds
     * @param maxMillis maximum delay, in milliseconds
     * @return the backoff
     */
    public static ReconnectBackoff between(long minMillis, long maxMillis) {
        return new ReconnectBackoff(minMillis, maxMillis);
    }

    /** Resets the backoff after a success. */
    public void reset() {
        lastMillis = minMillis;
    }

    /**
     * Chooses the delay after a lost connection or a failed attempt.
     *
     * @param random source of the jitter
     * @return the delay in milliseconds
     */
    public long next(RandomGenerator random) {
        long ceiling = Math.min(maxMillis, lastMillis * GROWTH_FACTOR);
        lastMillis = random.nextLong(minMillis, Math.max(ceiling, minMillis) + 1);
        return lastMillis;
    }

    /**
     * Chooses the delay after a control has requested one: the requested delay, up to the maximum,
     * plus a jitter of up to the minimum delay.
     *
     * @param requestedMillis delay that the control requested, in milliseconds
     * @param random source of the jitter
     * @return the delay in milliseconds
     */
    public long nextRequested(long requestedMillis, RandomGenerator random) {
        long bounded = Math.max(0, Math.min(requestedMillis, maxMillis));
        return bounded + random.nextLong(minMillis + 1);
    }
}
