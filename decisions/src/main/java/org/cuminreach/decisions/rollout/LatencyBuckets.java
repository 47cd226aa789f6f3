package org.cuminreach.decisions.rollout;

/** Buckets of a latency histogram; upper bounds double with every second bucket. */
public final class LatencyBuckets {
    /** Number of buckets; the last one also stands for calls that timed out. */
    public static final int COUNT = 36;

    private static final double FIRST_BUCKET_MICROS = 125.0;
    private static final double BUCKETS_PER_DOUBLING = 2.0;

    private LatencyBuckets() {}

    /**
     * Finds the bucket of a latency.
     *
     * @param micros latency, in microseconds
     * @return index of the bucket, from 0
     */
    public static int indexOf(long micros) {
        if (micros <= FIRST_BUCKET_MICROS) {
            return 0;
        }
        double doublings = Math.log(micros / FIRST_BUCKET_MICROS) / Math.log(2.0);
        return (int) Math.min(COUNT - 1, 1 + Math.floor(doublings * BUCKETS_PER_DOUBLING));
    }

    /**
     * Returns how many buckets a factor spans.
     *
     * @param factor ratio of two latencies, 1 or more
     * @return number of buckets between them, at least 1
     */
    public static int spanOf(double factor) {
        return (int) Math.max(1, Math.round(Math.log(factor) / Math.log(2) * BUCKETS_PER_DOUBLING));
    }
}
