package org.cuminreach.decisions.admission;

/**
 * What a call asks of its target's node: whose it is, how urgent, and by when it should end.
 *
 * @param caller whose call it is
 * @param route name of its route
 * @param priority rank that the operator gave its route, 0 the highest
 * @param arrivedMillis time at which it came
 * @param objectiveMillis time by which its answer is on time, or {@link #NO_OBJECTIVE}
 * @param deadlineMillis time at which its caller gives up
 * @param typicalRunMillis how long such a call usually runs, in milliseconds; 0 when not known
 */
public record AdmissionRequest(
        Caller caller,
        String route,
        int priority,
        long arrivedMillis,
        long objectiveMillis,
        long deadlineMillis,
        double typicalRunMillis) {
    /** Priorities that are told apart; all lower ones count as the lowest of them. */
    public static final int PRIORITIES = 4;

    /** Usual running times set aside before the objective; five calls in six end within them. */
    public static final double RUN_TIME_MARGIN_FACTOR = 1.5;

    /** Time of an objective that a call does not have. */
    public static final long NO_OBJECTIVE = Long.MAX_VALUE / 2;

    /**
     * Returns the demand of a call without an objective of its own.
     *
     * @param caller whose call it is
     * @param deadlineMillis time at which its caller gives up
     * @param usualMillis how long such a call usually runs, in milliseconds; 0 when not known
     * @param nowMillis present time
     * @return a demand of the highest priority
     */
    public static AdmissionRequest withDeadline(
            Caller caller, long deadlineMillis, double usualMillis, long nowMillis) {
        return new AdmissionRequest(
                caller, "", 0, nowMillis, NO_OBJECTIVE, deadlineMillis, usualMillis);
    }

    /**
     * Tells whether the call was too late for its objective when it came, with a usual running time
     * in hand. Its answer is still of use, but not at the cost of calls that can be on time.
     *
     * @return true when it can only be late
     */
    public boolean isLate() {
        return objectiveMillis - RUN_TIME_MARGIN_FACTOR * typicalRunMillis < arrivedMillis;
    }

    /**
     * Returns when the call has to start at the latest to be worth its slot.
     *
     * @return the time up to which it is likely to end within its objective, or within its deadline
     *     when it is late anyway
     */
    public long latestStartMillis() {
        return isLate()
                ? deadlineMillis - Math.round(typicalRunMillis)
                : Math.min(
                        deadlineMillis - Math.round(typicalRunMillis),
                        objectiveMillis - Math.round(RUN_TIME_MARGIN_FACTOR * typicalRunMillis));
    }

    /** Priority among those that are told apart. */
    int rank() {
        return Math.clamp(priority, 0, PRIORITIES - 1);
    }

    /** Place of the call's band among all: by priority, and late calls after those on time. */
    int band() {
        return 2 * rank() + (isLate() ? 1 : 0);
    }
}
