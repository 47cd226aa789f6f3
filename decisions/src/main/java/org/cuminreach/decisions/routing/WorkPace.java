package org.cuminreach.decisions.routing;

import java.util.Optional;

/**
 * Time that work takes on the VM of a target, which it may share with others, as its target last
 * stated. Such a statement is soon out of date, so it loses weight with its age.
 *
 * @param percent time in percent of the usual one, at least 1
 * @param ageMillis time since the statement, in milliseconds, at least 0
 */
public record WorkPace(int percent, long ageMillis) {
    /** Age at which a statement says nothing any more, in milliseconds. */
    public static final long MAX_AGE_MILLIS = 500;

    /**
     * Returns the expected ratio of a running time to the usual one.
     *
     * @return the ratio, 1 when the statement is too old
     */
    public double factor() {
        double stated = (double) percent / StatedLoad.USUAL_WORK_PERCENT;
        double weight = Math.max(0, 1 - (double) ageMillis / MAX_AGE_MILLIS);
        return 1 + (stated - 1) * weight;
    }

    /**
     * Returns the same statement at a later time.
     *
     * @param millis time since then, in milliseconds
     * @return the older statement
     */
    public WorkPace after(long millis) {
        return new WorkPace(percent, ageMillis + Math.max(0, millis));
    }

    /**
     * Tells whether the statement still says something.
     *
     * @return whether it is younger than the longest age
     */
    public boolean isFresh() {
        return ageMillis < MAX_AGE_MILLIS;
    }

    /**
     * Returns a pace as it is logged.
     *
     * @param pace the pace, or empty when none is known
     * @return the percentage and its age in milliseconds, for example {@code 250:40}, or {@code
     *     none}
     */
    public static String logText(Optional<WorkPace> pace) {
        return pace.map(known -> known.percent() + ":" + known.ageMillis()).orElse("none");
    }
}
