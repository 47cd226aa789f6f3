package org.cuminreach.runtime;

import java.util.OptionalLong;

/** How late an event loop runs its periodic task. Thread-safe. */
public final class EventLoopLag {
    /** Lag from which it is reported, in milliseconds. */
    public static final long REPORT_THRESHOLD_MILLIS = 200;

    /** Shortest time between two reports, in milliseconds. */
    public static final long REPORT_INTERVAL_MILLIS = 10_000;

    private long latestMillis;
    private long highestMillis;
    private long highestUnreportedMillis;
    private OptionalLong reportedAtMillis = OptionalLong.empty();

    private EventLoopLag() {}

    /**
     * Returns a lag without samples.
     *
     * @return the lag
     */
    public static EventLoopLag none() {
        return new EventLoopLag();
    }

    /**
     * Records a run of the periodic task.
     *
     * @param dueMillis when the task was due, on the clock of {@code nowMillis}
     * @param nowMillis present time, in milliseconds
     * @return the highest lag since the last report, in milliseconds, when it is to be reported now
     */
    public synchronized OptionalLong record(long dueMillis, long nowMillis) {
        latestMillis = Math.max(0, nowMillis - dueMillis);
        highestMillis = Math.max(highestMillis, latestMillis);
        highestUnreportedMillis = Math.max(highestUnreportedMillis, latestMillis);
        boolean tooSoon =
                reportedAtMillis.isPresent()
                        && nowMillis - reportedAtMillis.getAsLong() < REPORT_INTERVAL_MILLIS;
        if (tooSoon || highestUnreportedMillis < REPORT_THRESHOLD_MILLIS) {
            return OptionalLong.empty();
        }
        long reported = highestUnreportedMillis;
        highestUnreportedMillis = 0;
        reportedAtMillis = OptionalLong.of(nowMillis);
        return OptionalLong.of(reported);
    }

    /**
     * Returns the lag of the latest run.
     *
     * @return milliseconds
     */
    public synchronized long latestMillis() {
        return latestMillis;
    }

    /**
     * Returns the highest lag of all runs.
     *
     * @return milliseconds
     */
    public synchronized long highestMillis() {
        return highestMillis;
    }
}
