package org.cuminreach.decisions.admission;

/**
 * Properties of a call that decide its admission: caller, priority and time limits.
 *
 * @param caller caller that the call is from
 * @param route name of its route
 * @param priority priority that the operator gave its route, 0 being the highest
 * @param arrivedMillis time at which it arrived
 * @param objectiveMillis time by which its answer is on time, or {@link #NO_OBJECTIVE}
 * @param deadlineMillis time at which its caller gives up
 * @param typicalRunMillis typical running time of such a call, in milliseconds; 0 when not known
 */
public record AdmissionRequest(
        Caller caller,
        String route,
        int priority,
        long arrivedMillis,
        long objectiveMillis,
        long deadlineMillis,
        double typicalRunMillis) {
    /**
     * Number of distinct priorities; lower ones count as the lowest of them. Enough for three
     * priorities of tenants with four of routes in each.
     */
    public static final int PRIORITIES = 12;

    /**
     * Multiple of the typical running time that is reserved before the objective; five calls in six
     * end within it.
     */
    public static final double RUN_TIME_MARGIN_FACTOR = 1.5;

    /** Bounds every wait: callers without a deadline are better off elsewhere after a second. */
    private static final long MAX_WAIT_MILLIS = 1_000;

    /** Time by which a refusal after a wait precedes its caller's deadline, in milliseconds. */
    private static final long MAX_REFUSAL_MARGIN_MILLIS = 150;

    /** The same as a share of the time that the call had left when it arrived. */
    private static final double REFUSAL_MARGIN_SHARE = 0.1;

    /** Objective of a call that has none. */
    public static final long NO_OBJECTIVE = Long.MAX_VALUE / 2;

    /**
     * Returns the request of a call that has a deadline but no objective.
     *
     * @param caller caller that the call is from
     * @param deadlineMillis time at which its caller gives up
     * @param typicalRunMillis typical running time of such a call, in milliseconds; 0 when not
     *     known
     * @param nowMillis current time
     * @return a request of the highest priority
     */
    public static AdmissionRequest withDeadline(
            Caller caller, long deadlineMillis, double typicalRunMillis, long nowMillis) {
        return new AdmissionRequest(
                caller, "", 0, nowMillis, NO_OBJECTIVE, deadlineMillis, typicalRunMillis);
    }

    /**
     * Returns the request of the same call when it has arrived completely.
     *
     * @param millis time until then, in milliseconds
     * @return the request, with the same objective and deadline
     */
    public AdmissionRequest arrivedLater(long millis) {
        return new AdmissionRequest(
                caller,
                route,
                priority,
                arrivedMillis + millis,
                objectiveMillis,
                deadlineMillis,
                typicalRunMillis);
    }

    /**
     * Tells whether the call arrived too late to meet its objective with a typical running time.
     * Its answer is still useful, but not at the expense of calls that can be on time.
     *
     * @return true when the call is expected to miss its objective
     */
    public boolean isLate() {
        return objectiveMillis - RUN_TIME_MARGIN_FACTOR * typicalRunMillis < arrivedMillis;
    }

    /**
     * Returns the latest time at which starting the call is still worth a slot.
     *
     * @return the latest start with which it is likely to meet its objective, or its deadline if it
     *     is late anyway
     */
    public long latestStartMillis() {
        return isLate()
                ? deadlineMillis - Math.round(typicalRunMillis)
                : Math.min(
                        deadlineMillis - Math.round(typicalRunMillis),
                        objectiveMillis - Math.round(RUN_TIME_MARGIN_FACTOR * typicalRunMillis));
    }

    /** Returns the latest time at which the call can start and still end within its deadline. */
    long latestStartForDeadlineMillis(double minRunMillis, long nowMillis) {
        double runMillis = Math.max(minRunMillis, typicalRunMillis);
        return Math.min(deadlineMillis - Math.round(runMillis), nowMillis + MAX_WAIT_MILLIS);
    }

    /** Returns the latest time at which the refusal of a call still arrives within its deadline. */
    long latestRefusalMillis(long nowMillis) {
        double margin = REFUSAL_MARGIN_SHARE * (deadlineMillis - nowMillis);
        return deadlineMillis - Math.min(MAX_REFUSAL_MARGIN_MILLIS, Math.round(margin));
    }

    /** Returns the priority, limited to {@link #PRIORITIES} values. */
    int clampedPriority() {
        return Math.clamp(priority, 0, PRIORITIES - 1);
    }

    /** Returns the index of the call's band: two for each priority, late calls in the second. */
    int band() {
        return 2 * clampedPriority() + (isLate() ? 1 : 0);
    }
}
