package org.cuminreach.decisions.distribution;

/**
 * Token bucket that limits the rate at which a control admits nodes. A node that is not admitted
 * gets a time to wait; the waits are spread at the admission rate, so that the nodes do not return
 * as the next thundering herd. Not thread-safe.
 */
public final class AdmissionBucket {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final double admissionsPerMilli;
    private final double burst;
    private final long maxWaitMillis;
    private double tokens;
    private long refilledMillis;
    private double nextAdmissionMillis;

    private AdmissionBucket(
            double admissionsPerSecond, int burst, long maxWaitMillis, long nowMillis) {
        this.admissionsPerMilli = admissionsPerSecond / MILLIS_PER_SECOND;
        this.burst = burst;
        this.maxWaitMillis = maxWaitMillis;
        this.tokens = burst;
        this.refilledMillis = nowMillis;
        this.nextAdmissionMillis = nowMillis;
    }

    /**
     * Returns a full bucket.
     *
     * @param admissionsPerSecond average admission rate
     * @param burst capacity of the bucket: admissions at once after an idle time
     * @param maxWaitMillis maximum time that a node is asked to wait, in milliseconds
     * @param nowMillis current time
     * @return the bucket
     */
    public static AdmissionBucket full(
            double admissionsPerSecond, int burst, long maxWaitMillis, long nowMillis) {
        return new AdmissionBucket(admissionsPerSecond, burst, maxWaitMillis, nowMillis);
    }

    /**
     * Decides whether a node is admitted now.
     *
     * @param nowMillis current time
     * @return the admission, or the time after which the node should retry
     */
    public NodeAdmission tryAdmit(long nowMillis) {
        refill(nowMillis);
        if (tokens >= 1) {
            tokens -= 1;
            return new NodeAdmission.Admitted();
        }
        nextAdmissionMillis = Math.max(nextAdmissionMillis, nowMillis) + 1 / admissionsPerMilli;
        long waitMillis = (long) Math.ceil(nextAdmissionMillis) - nowMillis;
        if (waitMillis > maxWaitMillis) {
            nextAdmissionMillis = nowMillis;
            waitMillis = maxWaitMillis;
        }
        return new NodeAdmission.RetryLater(waitMillis);
    }

    private void refill(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - refilledMillis);
        tokens = Math.min(burst, tokens + elapsedMillis * admissionsPerMilli);
        refilledMillis = Math.max(refilledMillis, nowMillis);
    }
}
