package org.cuminreach.decisions.retry;

import java.util.OptionalLong;

/**
 * Decides when a repeatable call that has no answer yet is sent to a second target as well. An
 * answer that takes far longer than usual is likely to be lost, or behind a target that hangs.
 */
public final class HedgePolicy {
    /**
     * Usual running times after which an answer is overdue; about one call in thirty takes longer.
     */
    private static final double OVERDUE_RUN_FACTOR = 2.5;

    /**
     * Least time before a second attempt, in milliseconds; shorter ones are lost in the network.
     */
    private static final double MIN_DELAY_MILLIS = 50;

    /** Usual running times that must be left for the second attempt. */
    private static final double MIN_REMAINING_RUN_FACTOR = 1.5;

    private HedgePolicy() {}

    /**
     * Decides how long to wait for an answer before a second attempt.
     *
     * @param runMillis how long such a call usually runs, in milliseconds; 0 when not known
     * @param waitMillis how long it is expected to wait at its target first, in milliseconds
     * @param remainingMillis time left until its deadline, in milliseconds
     * @return the time in milliseconds, or empty when there is to be no second attempt
     */
    public static OptionalLong delayMillis(
            double runMillis, double waitMillis, long remainingMillis) {
        double delay = waitMillis + Math.max(MIN_DELAY_MILLIS, OVERDUE_RUN_FACTOR * runMillis);
        boolean inTime = remainingMillis - delay >= MIN_REMAINING_RUN_FACTOR * runMillis;
        return runMillis > 0 && inTime ? OptionalLong.of(Math.round(delay)) : OptionalLong.empty();
    }
}
