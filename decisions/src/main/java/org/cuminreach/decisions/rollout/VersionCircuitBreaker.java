package org.cuminreach.decisions.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Circuit breaker of one node for the new version of one service. It opens on strong evidence from
 * the node's own calls and keeps them off the version for a limited time, in which the judge can
 * roll the version back. A single bad target, or a request that fails elsewhere too, does not open
 * it. Not thread-safe.
 */
public final class VersionCircuitBreaker {
    private static final double BAD_VERSION_SHARE = 0.5;
    private static final double MIN_EXPECTED_SHARE = 0.05;
    private static final double MAX_EXPECTED_SHARE = 0.4;
    private static final double FALSE_ALARM = 0.001;
    private static final double TRIP_LOG_RATIO = -Math.log(FALSE_ALARM);
    private static final double AVERAGED_CALLS = 200.0;
    private static final double SLOW_FACTOR = 4.0;
    private static final long MIN_OLD_CALLS = 20;
    private static final long WARM_UP_CALLS = 20;
    private static final long OPEN_MILLIS = 5_000;
    private static final long LOSS_GROUPING_MILLIS = 1_000;
    private static final int MAX_TARGETS = 64;

    /** Calls to one target of the new version. */
    private static final class TargetRecord {
        private long calls;
        private long countedLossMillis = Long.MIN_VALUE / 2;
    }

    private final Map<String, TargetRecord> targets = new HashMap<>();
    private final Set<String> failingTargets = new HashSet<>();
    private double logRatio;
    private double oldFailureShare;
    private double oldMeanMicros;
    private long oldCalls;
    private long openUntilMillis = Long.MIN_VALUE;

    private VersionCircuitBreaker() {}

    /**
     * Returns a closed circuit breaker, which lets calls through.
     *
     * @return a new circuit breaker
     */
    public static VersionCircuitBreaker closed() {
        return new VersionCircuitBreaker();
    }

    /**
     * Tells whether the circuit is open.
     *
     * @param nowMillis current time
     * @return true while no calls are to be sent to the new version
     */
    public boolean isOpen(long nowMillis) {
        return nowMillis < openUntilMillis;
    }

    /**
     * Records a call to the old version.
     *
     * @param result result of the call
     * @param micros duration of the call, in microseconds
     */
    public void recordOldVersionCall(CallResult result, long micros) {
        if (result == CallResult.REFUSED) {
            return;
        }
        oldCalls++;
        double weight = 1 / Math.min(AVERAGED_CALLS, oldCalls);
        boolean failed = result != CallResult.ANSWERED;
        oldFailureShare += weight * ((failed ? 1 : 0) - oldFailureShare);
        oldMeanMicros += weight * (micros - oldMeanMicros);
    }

    /**
     * Records a call to the new version.
     *
     * @param target name of the node next to the target
     * @param result result of the call
     * @param micros duration of the call, in microseconds
     * @param readyTargets number of ready targets of the version
     * @param nowMillis current time
     * @return true when this call opens the circuit
     */
    public boolean recordNewVersionCall(
            String target, CallResult result, long micros, int readyTargets, long nowMillis) {
        if (result == CallResult.REFUSED || isOpen(nowMillis)) {
            return false;
        }
        TargetRecord targetRecord = recordOf(target);
        targetRecord.calls++;
        boolean repeatedLoss =
                result == CallResult.LOST
                        && nowMillis - targetRecord.countedLossMillis < LOSS_GROUPING_MILLIS;
        if (repeatedLoss) {
            return false;
        }
        if (result == CallResult.LOST) {
            targetRecord.countedLossMillis = nowMillis;
        }
        updateLogRatio(target, isBad(result, micros, targetRecord));
        boolean severalTargets = failingTargets.size() >= 2 || readyTargets <= 1;
        if (logRatio < TRIP_LOG_RATIO || !severalTargets) {
            return false;
        }
        logRatio = TRIP_LOG_RATIO / 2;
        openUntilMillis = nowMillis + OPEN_MILLIS;
        return true;
    }

    private void updateLogRatio(String target, boolean bad) {
        double expected = Math.clamp(2 * oldFailureShare, MIN_EXPECTED_SHARE, MAX_EXPECTED_SHARE);
        if (bad) {
            failingTargets.add(target);
            logRatio =
                    Math.min(2 * TRIP_LOG_RATIO, logRatio + Math.log(BAD_VERSION_SHARE / expected));
        } else {
            logRatio += Math.log((1 - BAD_VERSION_SHARE) / (1 - expected));
        }
        if (logRatio <= 0) {
            logRatio = 0;
            failingTargets.clear();
        }
    }

    private boolean isBad(CallResult result, long micros, TargetRecord targetRecord) {
        if (result != CallResult.ANSWERED) {
            return true;
        }
        boolean comparable = oldCalls >= MIN_OLD_CALLS && targetRecord.calls > WARM_UP_CALLS;
        return comparable && micros > SLOW_FACTOR * oldMeanMicros;
    }

    private TargetRecord recordOf(String target) {
        if (targets.size() >= MAX_TARGETS && !targets.containsKey(target)) {
            targets.clear();
        }
        return targets.computeIfAbsent(target, name -> new TargetRecord());
    }
}
