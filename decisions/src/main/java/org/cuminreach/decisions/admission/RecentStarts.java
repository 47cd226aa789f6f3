package org.cuminreach.decisions.admission;

import java.util.Arrays;

/**
 * Counts the calls that started within the last second, in a fixed amount of memory. The count is
 * never too low: the second is extended by the time that a call may need to leave the node. Not
 * thread-safe.
 */
final class RecentStarts {
    /** Length of one interval in which starts are counted together, in milliseconds. */
    private static final long INTERVAL_MILLIS = 10;

    /**
     * Time for which a start counts, in milliseconds: a second, and the time by which calls may
     * leave the node later than they start.
     */
    private static final long WINDOW_MILLIS = 1_100;

    private static final int INTERVALS = (int) (WINDOW_MILLIS / INTERVAL_MILLIS) + 1;

    private final int[] starts = new int[INTERVALS];
    private long latestInterval;
    private int total;

    void record(long nowMillis) {
        advance(nowMillis);
        starts[index(latestInterval)]++;
        total++;
    }

    int count(long nowMillis) {
        advance(nowMillis);
        return total;
    }

    /** Returns the time until fewer than a number of starts count, in milliseconds. */
    long millisUntilBelow(int limit, long nowMillis) {
        advance(nowMillis);
        int left = total;
        long interval = latestInterval - INTERVALS + 1;
        while (left >= limit && interval <= latestInterval) {
            left -= starts[index(interval)];
            interval++;
        }
        long forgottenMillis = (interval + INTERVALS - 1) * INTERVAL_MILLIS;
        return left == total ? 0 : Math.max(0, forgottenMillis - nowMillis);
    }

    private void advance(long nowMillis) {
        long interval = Math.floorDiv(nowMillis, INTERVAL_MILLIS);
        if (interval - latestInterval >= INTERVALS) {
            Arrays.fill(starts, 0);
            total = 0;
            latestInterval = interval;
        }
        while (latestInterval < interval) {
            latestInterval++;
            total -= starts[index(latestInterval)];
            starts[index(latestInterval)] = 0;
        }
    }

    private static int index(long interval) {
        return (int) Math.floorMod(interval, INTERVALS);
    }
}
