package org.cuminreach.decisions.rollout;

import java.util.ArrayList;
import java.util.List;

/**
 * Numbers of calls by result, with a latency histogram. Immutable.
 *
 * @param answered complete answers, including errors
 * @param failures error answers, which are also counted in {@code answered}
 * @param losses calls whose connection closed before the answer was complete
 * @param timeouts calls without an answer in time
 * @param refusals calls that were not run
 * @param totalMicros sum of the latencies of all answers, in microseconds
 * @param latencies numbers of answers by {@link LatencyBuckets bucket}, without timeouts
 */
public record CallCounts(
        long answered,
        long failures,
        long losses,
        long timeouts,
        long refusals,
        long totalMicros,
        List<Long> latencies) {
    /** Copies the histogram. */
    public CallCounts {
        latencies = List.copyOf(latencies);
    }

    /**
     * Returns the counts of one call.
     *
     * @param result result of the call
     * @param micros duration of the call, in microseconds
     * @return the counts
     */
    public static CallCounts of(CallResult result, long micros) {
        CallCounter counter = CallCounter.zero();
        counter.record(result, micros);
        return counter.counts();
    }

    /**
     * Returns how many calls reached a target.
     *
     * @return the number of calls without the refused ones
     */
    public long reached() {
        return answered + losses + timeouts;
    }

    /**
     * Returns the counts without latencies and timeouts.
     *
     * @return counts that are no evidence of slowness
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
