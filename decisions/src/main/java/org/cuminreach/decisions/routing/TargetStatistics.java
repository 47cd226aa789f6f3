package org.cuminreach.decisions.routing;

import java.util.Optional;

/**
 * Results of one node's own calls to one target, and the latest load report of the target as a hint
 * of the load from other nodes. Thread-safe.
 */
public final class TargetStatistics {
    /** Age at which a reported load counts half. */
    private static final double REPORT_HALF_WEIGHT_MILLIS = 300;

    private static final long MAX_REPORT_AGE_MILLIS = 1_000;

    /** Time for which reports are ignored after a target shed a call in spite of a low load. */
    private static final long IGNORE_REPORTS_MILLIS = 5_000;

    private static final int MAX_REPORTED_CALLS_PER_SLOT = 4;
    private static final double OWN_CALLS_WEIGHT = 2;
    private static final double SMOOTHING = 0.1;
    private static final double INITIAL_SLOWNESS = 1;
    private static final double FAILURE_WEIGHT = 8;
    private static final int SUSPECT_AFTER_LOSSES = 3;
    private static final long MIN_PUSHBACK_MILLIS = 10;
    private static final long MAX_PUSHBACK_MILLIS = 500;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final int slots;
    private final TargetPace pace;
    private int outstanding;
    private TargetHealth health = TargetHealth.HEALTHY;
    private int consecutiveLosses;
    private final ProbeSchedule probes = new ProbeSchedule();
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
    private long leavingUntilMillis = NEVER;
    private long nodeIncarnation;
    private CallRateLimit rateLimit = CallRateLimit.unlimited();
    private final ColdShare coldShare = new ColdShare();
    private Optional<WorkPace> workPace = Optional.empty();

    private TargetStatistics(int slots, TargetPace pace) {
        this.pace = pace;
        this.slots = slots;
        this.limit = slots;
    }

    /**
     * Returns the statistics of a target that has just appeared and has to warm up, where links
     * between data centres are cheap.
     *
     * @param slots calls that it runs concurrently, at least 1
     * @param nowMillis current time
     * @return statistics without calls
     */
    public static TargetStatistics cold(int slots, long nowMillis) {
        return cold(slots, LoadBalancingPolicy.forCheapLinks(), nowMillis);
    }

    /**
     * Returns the statistics of a target that has just appeared and has to warm up.
     *
     * @param slots calls that it runs concurrently, at least 1
     * @param policy settings of the pace at which it starts
     * @param nowMillis current time
     * @return statistics without calls
     */
    public static TargetStatistics cold(int slots, LoadBalancingPolicy policy, long nowMillis) {
        return new TargetStatistics(slots, TargetPace.starting(policy, nowMillis));
    }

    /**
     * Returns the statistics of a target that is warm.
     *
     * @param slots calls that it runs concurrently, at least 1
     * @return statistics without calls
     */
    public static TargetStatistics warm(int slots) {
        return new TargetStatistics(
                slots, TargetPace.established(LoadBalancingPolicy.forCheapLinks()));
    }

    /**
     * Records that a call was sent.
     *
     * @param nowMillis current time
     */
    public synchronized void recordSent(long nowMillis) {
        outstanding++;
        sentSinceReport++;
        if (health != TargetHealth.HEALTHY) {
            probes.recordSent(nowMillis);
        }
    }

    /**
     * Records the result of a call.
     *
     * @param result its result
     * @param slowness its running time relative to the typical one of such a call
     * @param nowMillis current time
     */
    public synchronized void recordResult(
            TargetCallResult result, double slowness, long nowMillis) {
        outstanding--;
        if (result == TargetCallResult.SUCCEEDED) {
            meanSlowness += SMOOTHING * (slowness - meanSlowness);
        }
        switch (result) {
            case SUCCEEDED -> {
                recordAnswer(0, nowMillis);
                pace.recordAnswer(slowness, nowMillis);
            }
            case FAILED -> {
                recordAnswer(1, nowMillis);
                pace.recordSetback(nowMillis);
            }
            case SHED -> {
                markHealthy(nowMillis);
                if (!isRateLimited()
                        && usesReports(nowMillis)
                        && otherNodesCalls + outstanding < limit) {
                    reportsIgnoredUntilMillis = nowMillis + IGNORE_REPORTS_MILLIS;
                }
                pushedBackUntilMillis = nowMillis + pushbackMillis;
                pushbackMillis = Math.min(MAX_PUSHBACK_MILLIS, 2 * pushbackMillis);
            }
            case BODY_REFUSED -> markHealthy(nowMillis);
            case UNREACHABLE -> markUnhealthy(TargetHealth.UNREACHABLE, nowMillis);
            case LOST -> {
                consecutiveLosses++;
                pace.recordSetback(nowMillis);
                if (consecutiveLosses >= SUSPECT_AFTER_LOSSES || health != TargetHealth.HEALTHY) {
                    markUnhealthy(TargetHealth.SUSPECT, nowMillis);
                }
            }
        }
    }

    /**
     * Records the limit on the rate of calls that the target states in an answer.
     *
     * @param stated the limit
     */
    public synchronized void recordRateLimit(CallRateLimit stated) {
        rateLimit = stated;
    }

    /**
     * Records what the node beside the target tells of its coldness.
     *
     * @param notice the cold time and rate, or empty when the target is warm
     * @param nowMillis time at which it arrived
     */
    public synchronized void recordCold(Optional<ColdNotice> notice, long nowMillis) {
        coldShare.record(notice, nowMillis);
    }

    /**
     * Returns what is known of the coldness of the target.
     *
     * @param nowMillis current time
     * @return the remaining cold time and the rate, or empty when the target is warm
     */
    public synchronized Optional<ColdNotice> coldNotice(long nowMillis) {
        return coldShare.notice(nowMillis);
    }

    /**
     * Records which process of its node announced the target. A later one accepts calls again after
     * the planned stop of an earlier one.
     *
     * @param incarnation incarnation of the process
     */
    public synchronized void recordNodeIncarnation(long incarnation) {
        draining &= incarnation == nodeIncarnation;
        nodeIncarnation = incarnation;
    }

    /**
     * Records that the target stated that it is about to stop.
     *
     * @param untilMillis time until which it gets no calls
     */
    public synchronized void recordLeaving(long untilMillis) {
        leavingUntilMillis = untilMillis;
    }

    /**
     * Tells whether the target gets no calls because it stated that it is about to stop.
     *
     * @param nowMillis current time
     * @return whether that is so
     */
    public synchronized boolean isLeaving(long nowMillis) {
        return nowMillis < leavingUntilMillis;
    }

    /**
     * Returns the limit that the target last stated.
     *
     * @return the limit
     */
    public synchronized CallRateLimit rateLimit() {
        return rateLimit;
    }

    /**
     * Records a load report, as a hint of the calls that other nodes have sent to the target.
     *
     * @param report the report
     * @param nowMillis time at which it arrived
     */
    public synchronized void recordLoadReport(LoadReport report, long nowMillis) {
        int reported =
                Math.min(
                        report.running() + report.waiting(),
                        MAX_REPORTED_CALLS_PER_SLOT * report.limit());
        otherNodesCalls = Math.max(0, reported - outstanding);
        limit = Math.min(slots, report.limit());
        reportedMillis = nowMillis;
        latestReport = report;
        coldShare.recordRun(report.runMillis());
        workPace = report.pace();
        sentSinceReport = 0;
        draining |= report.draining();
    }

    /**
     * Estimates how long one more call would wait at the target: the wait that its node last
     * reported, less the time since, plus the wait for the calls that this node has sent since.
     *
     * @param priority priority of the call's route
     * @param typicalRunMillis typical running time of such a call, in milliseconds
     * @param nowMillis current time
     * @return the wait in milliseconds, 0 when a slot should be free
     */
    public synchronized double expectedWaitMillis(
            int priority, double typicalRunMillis, long nowMillis) {
        double capacity = limit * capacityShare(nowMillis);
        double runMillis = typicalRunMillis * meanSlowness * workPaceFactor(nowMillis);
        if (!usesReports(nowMillis)) {
            return Math.max(0, outstanding + 1 - maxCalls(nowMillis) * capacityShare(nowMillis))
                    * runMillis
                    / capacity;
        }
        double reported = latestReport.waitMillis(priority);
        double free = reported > 0 ? 0 : Math.max(0, latestReport.limit() - latestReport.running());
        double added = Math.max(0, sentSinceReport + 1 - free) * runMillis / capacity;
        double elapsed = (double) nowMillis - reportedMillis;
        return Math.max(0, reported + added - elapsed);
    }

    /**
     * Returns the estimated utilisation of the target with one more call; above 1 that call would
     * wait. The capacity of a target that is cold or has just started is reduced, and failures add
     * to its load, so that a target that fails fast does not attract calls.
     *
     * @param nowMillis current time
     * @return the utilisation, at least 0
     */
    public synchronized double load(long nowMillis) {
        double others = 0;
        double capacity = maxCalls(nowMillis);
        if (usesReports(nowMillis)) {
            double age = nowMillis - reportedMillis;
            others = otherNodesCalls / (1 + age / REPORT_HALF_WEIGHT_MILLIS);
        }
        double used = (outstanding + others + 1) / (capacity * capacityShare(nowMillis));
        return used + FAILURE_WEIGHT * failureRate * failureRate;
    }

    /**
     * Returns the cost by which targets are compared: the load times the mean slowness and the time
     * that work takes on the target's VM now. Calls of this node have more weight in it, since
     * their number is known while a report may be misleading.
     *
     * @param nowMillis current time
     * @return the cost, at least 0
     */
    public synchronized double cost(long nowMillis) {
        double own = OWN_CALLS_WEIGHT * outstanding / (slots * capacityShare(nowMillis));
        return (load(nowMillis) + own) * meanSlowness * workPaceFactor(nowMillis);
    }

    /**
     * Returns the pace of the target's VM as last reported.
     *
     * @param nowMillis current time
     * @return the pace with its age; empty when none is known that still counts
     */
    public synchronized Optional<WorkPace> workPace(long nowMillis) {
        return workPace.map(stated -> stated.after(nowMillis - reportedMillis))
                .filter(WorkPace::isFresh);
    }

    private double workPaceFactor(long nowMillis) {
        return workPace(nowMillis).map(WorkPace::factor).orElse(1.0);
    }

    /**
     * Returns the status, which says whether a new call may be sent to the target.
     *
     * @param nowMillis current time
     * @return the status
     */
    public synchronized TargetStatus status(long nowMillis) {
        if (draining || isLeaving(nowMillis)) {
            return TargetStatus.DRAINING;
        }
        if (health != TargetHealth.HEALTHY) {
            if (probes.isDue(nowMillis)) {
                return TargetStatus.DUE_FOR_PROBE;
            }
            return health == TargetHealth.SUSPECT ? TargetStatus.SUSPECT : TargetStatus.UNREACHABLE;
        }
        return nowMillis < pushedBackUntilMillis ? TargetStatus.PUSHED_BACK : TargetStatus.USABLE;
    }

    /**
     * Tells whether a call that must not run twice may probe this target too. It may if the target
     * was unreachable, since a call whose connection is refused has not run; or if no other call
     * has probed it for a while, so that a service without repeatable calls gets its targets back.
     *
     * @param nowMillis current time
     * @return true when any call may probe the target
     */
    public synchronized boolean anyCallMayProbe(long nowMillis) {
        return health == TargetHealth.UNREACHABLE || probes.isOverdue(nowMillis);
    }

    /**
     * Returns the number of calls without a result yet.
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

    /** Returns the calls that the target takes at once; a rate limit outlasts its load report. */
    private int maxCalls(long nowMillis) {
        return isRateLimited() || usesReports(nowMillis) ? limit : slots;
    }

    private boolean isRateLimited() {
        return rateLimit instanceof CallRateLimit.PerSecond;
    }

    /**
     * Returns the pace of a target that has just started or recovered.
     *
     * @param nowMillis current time
     * @return share of its capacity for which it counts, 1 once it is established
     */
    public synchronized double pace(long nowMillis) {
        return pace.share(nowMillis);
    }

    /** Returns the share of its capacity for which the target counts now. */
    private double capacityShare(long nowMillis) {
        return Math.min(
                pace.share(nowMillis), coldShare.share(slots, maxCalls(nowMillis), nowMillis));
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
            pace.restart(nowMillis);
        }
        consecutiveLosses = 0;
        probes.reset();
    }

    private void markUnhealthy(TargetHealth next, long nowMillis) {
        probes.recordFailure(health == TargetHealth.HEALTHY, nowMillis);
        health = next;
    }
}
