package org.cuminreach.decisions.routing;

/** When a target that is not healthy gets its next call as a probe. Not thread-safe. */
final class ProbeSchedule {
    private static final long MIN_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 5_000;

    /** Delay beyond the due time from which calls that may not run twice probe as well. */
    private static final long MAX_DELAY_MILLIS = 5_000;

    private long backoffMillis = MIN_BACKOFF_MILLIS;
    private long nextMillis = Long.MIN_VALUE / 2;
    private boolean probing;

    /** Records that a call was sent to the target, which is a probe if one is due. */
    void recordSent(long nowMillis) {
        probing |= nowMillis >= nextMillis;
    }

    /** Records that the target failed; each failed probe doubles the time until the next one. */
    void recordFailure(boolean first, long nowMillis) {
        if (first || probing) {
            nextMillis = nowMillis + backoffMillis;
            backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
        }
        probing = false;
    }

    /** Starts anew, as the target is healthy. */
    void reset() {
        backoffMillis = MIN_BACKOFF_MILLIS;
        probing = false;
    }

    boolean isDue(long nowMillis) {
        return !probing && nowMillis >= nextMillis;
    }

    boolean isOverdue(long nowMillis) {
        return nowMillis - nextMillis >= MAX_DELAY_MILLIS;
    }
}
