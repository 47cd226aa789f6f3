package org.cuminreach.decisions.rollout;

/** Counts results of calls. Not safe for several threads at once. */
public final class CallCounter {
    private final long[] latencies = new long[LatencyBuckets.COUNT];
    private long answered;
    private long failures;
    private long losses;
    private long timeouts;
    private long refusals;
    private long totalMicros;
    private long timed;

    private CallCounter() {}

    /**
     * Returns a counter without calls.
     *
     * @return a new counter
     */
    public static CallCounter zero() {
        return new CallCounter();
    }

    /**
     * Counts one call.
     *
     * @param result how it ended
     * @param micros time it took, in microseconds
     */
    public void record(CallResult result, long micros) {
        switch (result) {
            case ANSWERED -> recordAnswer(micros);
            case FAILED -> {
                failures++;
                recordAnswer(micros);
            }
            case LOST -> losses++;
            case TIMED_OUT -> timeouts++;
            case REFUSED -> refusals++;
        }
    }

    /**
     * Adds counts.
     *
     * @param counts the counts
     */
    public void add(CallCounts counts) {
        answered += counts.answered();
        failures += counts.failures();
        losses += counts.losses();
        timeouts += counts.timeouts();
        refusals += counts.refusals();
        totalMicros += counts.totalMicros();
        int known = Math.min(latencies.length, counts.latencies().size());
        for (int index = 0; index < known; index++) {
            long count = counts.latencies().get(index);
            latencies[index] += count;
            timed += count;
        }
    }

    void add(CallCounter other) {
        timed += other.timed;
        answered += other.answered;
        failures += other.failures;
        losses += other.losses;
        timeouts += other.timeouts;
        refusals += other.refusals;
        totalMicros += other.totalMicros;
        for (int index = 0; index < latencies.length; index++) {
            latencies[index] += other.latencies[index];
        }
    }

    void subtract(CallCounter other) {
        timed -= other.timed;
        answered -= other.answered;
        failures -= other.failures;
        losses -= other.losses;
        timeouts -= other.timeouts;
        refusals -= other.refusals;
        totalMicros -= other.totalMicros;
        for (int index = 0; index < latencies.length; index++) {
            latencies[index] -= other.latencies[index];
        }
    }

    /**
     * Returns what was counted.
     *
     * @return the counts
     */
    public CallCounts counts() {
        return new CallCounts(
                answered,
                failures,
                losses,
                timeouts,
                refusals,
                totalMicros,
                CallCounts.listOf(latencies));
    }

    long reached() {
        return answered + losses + timeouts;
    }

    long failures() {
        return failures;
    }

    long losses() {
        return losses;
    }

    long refusals() {
        return refusals;
    }

    /** Counts calls that took longer than a bucket, timeouts among them. */
    long slowerThan(int bucket) {
        long slower = timeouts;
        for (int index = bucket + 1; index < latencies.length; index++) {
            slower += latencies[index];
        }
        return slower;
    }

    /** Counts calls whose time is known, timeouts among them. */
    long timed() {
        return timed + timeouts;
    }

    /** Finds the bucket that holds a quantile of the answer times, timeouts counted as longest. */
    int quantileBucket(double quantile) {
        double rank = quantile * timed();
        long passed = 0;
        for (int index = 0; index < latencies.length; index++) {
            passed += latencies[index];
            if (passed >= rank) {
                return index;
            }
        }
        return latencies.length - 1;
    }

    private void recordAnswer(long micros) {
        answered++;
        totalMicros += micros;
        latencies[LatencyBuckets.indexOf(micros)]++;
        timed++;
    }
}
