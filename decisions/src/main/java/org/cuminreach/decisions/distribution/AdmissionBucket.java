package org.cuminreach.decisions.distribution;

/**
 * Admits nodes to a control at a bounded rate. A node that comes too early is told when to come
 * back; the times told are spread so that they do not form the next herd. Not safe for use by
 * several threads at once.
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
            double admissionsPerSecond, int burst, long longestWaitMillis, long nowMillis) {
        this.admissionsPerMilli = admissionsPerSecond / MILLIS_PER_SECOND;
        this.burst = burst;
        this.maxWaitMillis = longestWaitMillis;
        this.tokens = burst;
        this.refilledMillis = nowMillis;
        this.nextAdmissionMillis = nowMillis;
    }

    /**
     * Returns a full bucket.
     *
     * @param admissionsPerSecond admissions a second in the long run
     * @param burst admissions at once after a quiet time
     * @param longestWaitMillis longest time that a node is told to wait, in milliseconds
     * @param nowMillis present time
     * @return the bucket
     */
    public static AdmissionBucket full(
            double admissionsPerSecond, int burst, long longestWaitMillis, long nowMillis) {
        return new AdmissionBucket(admissionsPerSecond, burst, longestWaitMillis, nowMillis);
    }

    /**
     * Decides about a node that asks to be admitted.
     *
     * @param nowMillis present time
     * @return whether it is admitted, or when to come back
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
        long passedMillis = Math.max(0, nowMillis - refilledMillis);
        tokens = Math.min(burst, tokens + passedMillis * admissionsPerMilli);
        refilledMillis = Math.max(refilledMillis, nowMillis);
    }
}
