package org.cuminreach.decisions.rollout;

import java.util.ArrayList;
import java.util.List;

/**
 * Counted results of calls. Immutable.
 *
 * @param answered whole answers, errors included
 * @param failures answers among them that are errors
 * @param losses calls whose connection ended before the answer
 * @param timeouts calls without an answer in time
 * @param refusals calls that were not run
 * @param totalMicros sum of the answer times, in microseconds
 * @param latencies answers by {@link LatencyBuckets bucket}; timeouts are not among them
 */
public record CallCounts(
        long answered,
        long failures,
        long losses,
        long timeouts,
        long refusals,
        long totalMicros,
        List<Long> latencies) {
    /** Copies the list. */
    public CallCounts {
        latencies = List.copyOf(latencies);
    }

    /**
     * Returns the counts of one call.
     *
     * @param result how it ended
     * @param micros time it took, in microseconds
     * @return its counts
     */
    public static CallCounts of(CallResult result, long micros) {
        CallCounter counter = CallCounter.zero();
        counter.record(result, micros);
        return counter.counts();
    }

    /**
     * Returns how many calls reached the target.
     *
     * @return all calls but the refused ones
     */
    public long reached() {
        return answered + losses + timeouts;
    }

    /**
     * Returns the counts without answer times.
     *
     * @return the same results, of which none tells of slowness
     */
    CallCounts withoutLatencies() {
        return new CallCounts(answered, failures, losses, 0, refusals, 0, List.of());
    }

    static List<Long> listOf(long[] counts) {
        List<Long> list = new ArrayList<>(counts.length);
        for (long count : counts) {
            list.add(count);
        }
        return list;
    }
}
