package org.cuminreach.decisions.admission;

/**
 * When a stopping process ends, and until when it takes calls without regard to that end.
 *
 * @param lateFromMillis time from which a call is late, on the monotonic clock
 * @param endMillis time at which the calls in progress are cut, on the monotonic clock
 */
public record StopSchedule(long lateFromMillis, long endMillis) {
    /**
     * Time that is kept free before the end, so that a call that reaches its deadline is still
     * answered, in milliseconds.
     */
    private static final long ANSWER_RESERVE_MILLIS = 100;

    private static final StopSchedule NONE = new StopSchedule(Long.MAX_VALUE, Long.MAX_VALUE);

    /**
     * Returns the schedule of a process that does not stop.
     *
     * @return a schedule that takes every call
     */
    public static StopSchedule none() {
        return NONE;
    }

    /**
     * Returns the schedule of a process that stops.
     *
     * @param lateFromMillis time from which a call is late, on the monotonic clock
     * @param endMillis time at which the calls in progress are cut, on the monotonic clock
     * @return the schedule
     */
    public static StopSchedule of(long lateFromMillis, long endMillis) {
        return new StopSchedule(lateFromMillis, endMillis);
    }

    /**
     * Decides whether a call is taken. A late call is only if it ends before the process does, even
     * if it lasts until its deadline.
     *
     * @param nowMillis time at which the call has arrived, on the monotonic clock
     * @param deadlineMillis time at which the call is given up, on the monotonic clock
     * @return false if the call is to be refused
     */
    public boolean takes(long nowMillis, long deadlineMillis) {
        return nowMillis < lateFromMillis || deadlineMillis <= endMillis - ANSWER_RESERVE_MILLIS;
    }
}
