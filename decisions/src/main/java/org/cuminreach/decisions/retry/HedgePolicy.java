package org.cuminreach.decisions.retry;

import java.util.OptionalLong;

/**
 * Decides when an idempotent call without an answer is also sent to a second target. An answer that
 * takes far longer than typical is likely lost, or its target hangs.
 */
public final class HedgePolicy {
    /**
     * Multiple of the typical running time after which an answer is overdue; about one call in
     * thirty takes longer.
     */
    private static final double OVERDUE_RUN_FACTOR = 2.5;

    /**
     * Minimum delay before a second attempt, in milliseconds; shorter ones are insignificant beside
     * network delays.
     */
    private static final double MIN_DELAY_MILLIS = 50;

    /** Multiple of the typical running time that must remain for the second attempt. */
    private static final double MIN_REMAINING_RUN_FACTOR = 1.5;

    private HedgePolicy() {}

    /**
     * Decides how long to wait for an answer before a second attempt.
     *
     * @param runMillis typical running time of such a call, in milliseconds; 0 when not known
     * @param waitMillis expected wait at its target before it runs, in milliseconds
     * @param remainingMillis time until its deadline, in milliseconds
     * @return the delay in milliseconds, or empty for no second attempt
     */
    public static OptionalLong delayMillis(
            double runMillis, double waitMillis, long remainingMillis) {
        double delay = waitMillis + Math.max(MIN_DELAY_MILLIS, OVERDUE_RUN_FACTOR * runMillis);
        boolean inTime = remainingMillis - delay >= MIN_REMAINING_RUN_FACTOR * runMillis;
        return runMillis > 0 && inTime ? OptionalLong.of(Math.round(delay)) : OptionalLong.empty();
    }
}
