package org.cuminreach.decisions.routing;

/**
 * What one node's own calls to one target met, and the latest load report as a hint. Safe for use
 * by several threads.
 */
public final class TargetStatistics {
    private static final double REPORT_HALF_WEIGHT_MILLIS = 300;
    private static final long MAX_REPORT_AGE_MILLIS = 1_000;
    private static final long IGNORE_REPORTS_MILLIS = 5_000;
    private static final int MAX_REPORTED_CALLS_PER_SLOT = 4;
    private static final double OWN_CALLS_WEIGHT = 2;
    private static final double SMOOTHING = 0.1;
    private static final double INITIAL_SLOWNESS = 1;
    private static final double FAILURE_WEIGHT = 8;
    private static final int SUSPECT_AFTER_LOSSES = 3;
    private static final long MAX_PROBE_DELAY_MILLIS = 5_000;
    private static final long MIN_PROBE_BACKOFF_MILLIS = 250;
    private static final long MAX_PROBE_BACKOFF_MILLIS = 5_000;
    private static final long MIN_PUSHBACK_MILLIS = 10;
    private static final long MAX_PUSHBACK_MILLIS = 500;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final int slots;
    private final LoadBalancingPolicy policy;
    private long slowStartSinceMillis;
    private int outstanding;
    private TargetHealth health = TargetHealth.HEALTHY;
    private int consecutiveLosses;
    private long probeBackoffMillis = MIN_PROBE_BACKOFF_MILLIS;
    private long nextProbeMillis = NEVER;
    private boolean probing;
    private long pushbackMillis = MIN_PUSHBACK_MILLIS;
    private long pushedBackUntilMillis = NEVER;
    private double failureRate;
    private double meanSlowness = INITIAL_SLOWNESS;
    private int otherNodesCalls;
    private LoadReport latestReport;
    private int sentSinceReport;
    private int limit;
    private long reportedMillis = NEVER;
    private long reportsIgnoredUntilMillis = NEVER;
    private boolean draining;

    private TargetStatistics(int slots, LoadBalancingPolicy placement, long rampFromMillis) {
        this.policy = placement;
        this.slots = slots;
        this.limit = slots;
        this.slowStartSinceMillis = rampFromMillis;
    }

    /**
     * Returns the experience of a target that has just appeared and has to warm up.
     *
     * @param slots calls that it runs at once, at least 1
     * @param nowMillis present time
     * @return nothing met yet
     */
    public static TargetStatistics cold(int slots, long nowMillis) {
        return cold(slots, LoadBalancingPolicy.forCheapLinks(), nowMillis);
    }

    /**
     * Returns the experience of a target that has just appeared, under a placement of its own.
     *
     * @param slots calls that it runs at once
     * @param placement how quickly it gets its share
     * @param nowMillis present time
     * @return the experience
     */
    public static TargetStatistics cold(int slots, LoadBalancingPolicy placement, long nowMillis) {
        return new TargetStatistics(slots, placement, nowMillis);
    }

    /**
     * Returns the experience of a target that is warm.
     *
     * @param slots calls that it runs at once, at least 1
     * @return nothing met yet
     */
    public static TargetStatistics warm(int slots) {
        return new TargetStatistics(slots, LoadBalancingPolicy.forCheapLinks(), NEVER);
    }

    /**
     * Notes that a call was sent.
     *
     * @param nowMillis present time
     */
    public synchronized void recordSent(long nowMillis) {
        outstanding++;
        sentSinceReport++;
        probing |= health != TargetHealth.HEALTHY && nowMillis >= nextProbeMillis;
    }

    /**
     * Notes what a call met.
     *
     * @param answer what it met
     * @param slowness how long the answer took beside what is usual for such a call
     * @param nowMillis present time
     */
    public synchronized void recordResult(
            TargetCallResult answer, double slowness, long nowMillis) {
        outstanding--;
        if (answer == TargetCallResult.SUCCEEDED) {
            meanSlowness += SMOOTHING * (slowness - meanSlowness);
        }
        switch (answer) {
            case SUCCEEDED -> recordAnswer(0, nowMillis);
            case FAILED -> recordAnswer(1, nowMillis);
            case SHED -> {
                markHealthy(nowMillis);
                if (usesReports(nowMillis) && otherNodesCalls + outstanding < limit) {
                    reportsIgnoredUntilMillis = nowMillis + IGNORE_REPORTS_MILLIS;
                }
                pushedBackUntilMillis = nowMillis + pushbackMillis;
                pushbackMillis = Math.min(MAX_PUSHBACK_MILLIS, 2 * pushbackMillis);
            }
            case UNREACHABLE -> markUnhealthy(TargetHealth.UNREACHABLE, nowMillis);
            case LOST -> {
                consecutiveLosses++;
                if (consecutiveLosses >= SUSPECT_AFTER_LOSSES || health != TargetHealth.HEALTHY) {
                    markUnhealthy(TargetHealth.SUSPECT, nowMillis);
                }
            }
        }
    }

    /**
     * Takes a load report as a hint of what other nodes have sent to the target.
     *
     * @param report the report
     * @param nowMillis time at which it arrived
     */
    public synchronized void recordLoadReport(LoadReport report, long nowMillis) {
        int all =
                Math.min(
                        report.running() + report.waiting(),
                        MAX_REPORTED_CALLS_PER_SLOT * report.limit());
        otherNodesCalls = Math.max(0, all - outstanding);
        limit = Math.min(slots, report.limit());
        reportedMillis = nowMillis;
        latestReport = report;
        sentSinceReport = 0;
        draining |= report.draining();
    }

    /**
     * Estimates how long one more call would wait at the target: what its node last told, less the
     * time that has passed, and the calls that this node has sent since.
     *
     * @param priority rank of the call's route
     * @param runMillis how long such a call usually runs, in milliseconds
     * @param nowMillis present time
     * @return the wait in milliseconds, 0 when a slot should be free
     */
    public synchronized double expectedWaitMillis(int priority, double runMillis, long nowMillis) {
        double capacity = limit * slowStartShare(nowMillis);
        double ran = runMillis * meanSlowness;
        if (!usesReports(nowMillis)) {
            return Math.max(0, outstanding + 1 - slots * slowStartShare(nowMillis))
                    * ran
                    / capacity;
        }
        double told = latestReport.waitMillis(priority);
        double free = told > 0 ? 0 : Math.max(0, latestReport.limit() - latestReport.running());
        double added = Math.max(0, sentSinceReport + 1 - free) * ran / capacity;
        double passed = (double) nowMillis - reportedMillis;
        return Math.max(0, told + added - passed);
    }

    /**
     * Returns the share of its capacity that the target is thought to use with one more call; above
     * 1 that call would wait. A target that warms up has less capacity, and a failing one counts as
     * fuller.
     *
     * @param nowMillis present time
     * @return the share, at least 0
     */
    public synchronized double load(long nowMillis) {
        double others = 0;
        double capacity = slots;
        if (usesReports(nowMillis)) {
            double age = nowMillis - reportedMillis;
            others = otherNodesCalls / (1 + age / REPORT_HALF_WEIGHT_MILLIS);
            capacity = limit;
        }
        double used = (outstanding + others + 1) / (capacity * slowStartShare(nowMillis));
        return used + FAILURE_WEIGHT * failureRate * failureRate;
    }

    /**
     * Returns what a target is compared with others by: its load, in which the calls of this node
     * count more, since they are known and a report may mislead, times how long its answers take.
     *
     * @param nowMillis present time
     * @return the cost, at least 0
     */
    public synchronized double cost(long nowMillis) {
        double own = OWN_CALLS_WEIGHT * outstanding / (slots * slowStartShare(nowMillis));
        return (load(nowMillis) + own) * meanSlowness;
    }

    /**
     * Tells how far the target may be used for a fresh call.
     *
     * @param nowMillis present time
     * @return its standing
     */
    public synchronized TargetStatus status(long nowMillis) {
        if (draining) {
            return TargetStatus.DRAINING;
        }
        if (health != TargetHealth.HEALTHY) {
            if (!probing && nowMillis >= nextProbeMillis) {
                return TargetStatus.DUE_FOR_PROBE;
            }
            return health == TargetHealth.SUSPECT ? TargetStatus.SUSPECT : TargetStatus.UNREACHABLE;
        }
        return nowMillis < pushedBackUntilMillis ? TargetStatus.PUSHED_BACK : TargetStatus.USABLE;
    }

    /**
     * Tells whether a call that may not run twice may probe this target too: one that was
     * unreachable, since a refused connection has not run; and one whose probe no other call has
     * made for a while, so that a service without repeatable calls gets its targets back.
     *
     * @param nowMillis present time
     * @return true when any call may be its probe
     */
    public synchronized boolean anyCallMayProbe(long nowMillis) {
        return health == TargetHealth.UNREACHABLE
                || nowMillis - nextProbeMillis >= MAX_PROBE_DELAY_MILLIS;
    }

    /**
     * Returns the calls that wait for an answer.
     *
     * @return calls of this node
     */
    public synchronized int outstanding() {
        return outstanding;
    }

    private boolean usesReports(long nowMillis) {
        return nowMillis - reportedMillis < MAX_REPORT_AGE_MILLIS
                && nowMillis >= reportsIgnoredUntilMillis;
    }

    private double slowStartShare(long nowMillis) {
        double warmed = (double) (nowMillis - slowStartSinceMillis) / policy.slowStartMillis();
        return Math.clamp(warmed, policy.initialShare(), 1);
    }

    private void recordAnswer(int failed, long nowMillis) {
        markHealthy(nowMillis);
        failureRate += SMOOTHING * (failed - failureRate);
        pushbackMillis = MIN_PUSHBACK_MILLIS;
        pushedBackUntilMillis = NEVER;
    }

    private void markHealthy(long nowMillis) {
        if (health != TargetHealth.HEALTHY) {
            health = TargetHealth.HEALTHY;
            slowStartSinceMillis = nowMillis;
        }
        consecutiveLosses = 0;
        probeBackoffMillis = MIN_PROBE_BACKOFF_MILLIS;
        probing = false;
    }

    private void markUnhealthy(TargetHealth next, long nowMillis) {
        boolean first = health == TargetHealth.HEALTHY;
        boolean probeFailed = probing;
        health = next;
        if (first || probeFailed) {
            nextProbeMillis = nowMillis + probeBackoffMillis;
            probeBackoffMillis = Math.min(MAX_PROBE_BACKOFF_MILLIS, 2 * probeBackoffMillis);
        }
        probing = false;
    }
}
