package org.cuminreach.decisions.rollout;

/** Buckets of answer times, each reaching half an octave further than the one before. */
public final class LatencyBuckets {
    /** Number of buckets; the last one also holds calls that timed out. */
    public static final int COUNT = 36;

    private static final double FIRST_BUCKET_MICROS = 125.0;
    private static final double BUCKETS_PER_DOUBLING = 2.0;

    private LatencyBuckets() {}

    /**
     * Finds the bucket of an answer time.
     *
     * @param micros answer time, in microseconds
     * @return index of the bucket, from 0
     */
    public static int indexOf(long micros) {
        if (micros <= FIRST_BUCKET_MICROS) {
            return 0;
        }
        double octaves = Math.log(micros / FIRST_BUCKET_MICROS) / Math.log(2.0);
        return (int) Math.min(COUNT - 1, 1 + Math.floor(octaves * BUCKETS_PER_DOUBLING));
    }

    /**
     * Returns how many buckets a factor spans.
     *
     * @param factor ratio of two answer times, 1 or more
     * @return the buckets between them, at least 1
     */
    public static int spanOf(double factor) {
        return (int) Math.max(1, Math.round(Math.log(factor) / Math.log(2) * BUCKETS_PER_DOUBLING));
    }
}
