package org.cuminreach.decisions.distribution;

import java.util.random.RandomGenerator;

/**
 * How long a node waits before it dials again: decorrelated jitter, a random time between the
 * shortest wait and three times the last one, within a bound. Not safe for use by several threads
 * at once.
 */
public final class ReconnectBackoff {
    private static final long GROWTH_FACTOR = 3;

    private final long minMillis;
    private final long maxMillis;
    private long lastMillis;

    private ReconnectBackoff(long shortestMillis, long longestMillis) {
        this.minMillis = shortestMillis;
        this.maxMillis = longestMillis;
        this.lastMillis = shortestMillis;
    }

    /**
     * Returns a backoff that has not waited yet.
     *
     * @param shortestMillis shortest wait, in milliseconds
     * @param longestMillis longest wait, in milliseconds
     * @return the backoff
     */
    public static ReconnectBackoff between(long shortestMillis, long longestMillis) {
        return new ReconnectBackoff(shortestMillis, longestMillis);
    }

    /** Starts anew after a success. */
    public void reset() {
        lastMillis = minMillis;
    }

    /**
     * Chooses the wait after a loss or a failure.
     *
     * @param random source of the jitter
     * @return milliseconds
     */
    public long next(RandomGenerator random) {
        long ceiling = Math.min(maxMillis, lastMillis * GROWTH_FACTOR);
        lastMillis = random.nextLong(minMillis, Math.max(ceiling, minMillis) + 1);
        return lastMillis;
    }

    /**
     * Chooses the wait after a control has named one: at least that, with the shortest wait as
     * jitter on top.
     *
     * @param askedMillis wait that the control named, in milliseconds
     * @param random source of the jitter
     * @return milliseconds
     */
    public long nextAtLeast(long askedMillis, RandomGenerator random) {
        long bounded = Math.max(0, Math.min(askedMillis, maxMillis));
        return bounded + random.nextLong(minMillis + 1);
    }
}
