package org.cuminreach.decisions.rollout;

/** Counts calls by result and latency. Not thread-safe. */
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
     * Records one call.
     *
     * @param result result of the call
     * @param micros duration of the call, in microseconds
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
     * Returns the counts so far.
     *
     * @return an immutable copy of the counts
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

    /** Counts calls slower than the calls of a bucket, including timeouts. */
    long slowerThan(int bucket) {
        long slower = timeouts;
        for (int index = bucket + 1; index < latencies.length; index++) {
            slower += latencies[index];
        }
        return slower;
    }

    /** Counts calls with a known latency, including timeouts. */
    long timed() {
        return timed + timeouts;
    }

    /** Finds the bucket of a latency quantile; timeouts count as the slowest calls. */
    int quantileBucket(double quantile) {
        double rank = quantile * timed();
        long cumulative = 0;
        for (int index = 0; index < latencies.length; index++) {
            cumulative += latencies[index];
            if (cumulative >= rank) {
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
