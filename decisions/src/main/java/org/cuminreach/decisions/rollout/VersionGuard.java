package org.cuminreach.decisions.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * One node's own guard of one service's new version: on strong evidence of its own calls it keeps
 * them off the version for a while, until the judge takes the version back or the guard lapses. A
 * single target, or a request that fails elsewhere too, does not set it off. Not safe for several
 * threads at once.
 */
public final class VersionGuard {
    private static final double BAD_SHARE = 0.5;
    private static final double LEAST_EXPECTED_SHARE = 0.05;
    private static final double MOST_EXPECTED_SHARE = 0.4;
    private static final double FALSE_ALARM = 0.001;
    private static final double LIMIT = -Math.log(FALSE_ALARM);
    private static final double MEMORY_CALLS = 200.0;
    private static final double SLOW_FACTOR = 4.0;
    private static final long FEWEST_OLD_CALLS = 20;
    private static final long COLD_CALLS = 20;
    private static final long GUARD_MILLIS = 5_000;
    private static final long LOSS_MILLIS = 1_000;
    private static final int MOST_TARGETS = 64;

    /** What one target of the new version did. */
    private static final class TargetRecord {
        private long calls;
        private long lostMillis = Long.MIN_VALUE / 2;
    }

    private final Map<String, TargetRecord> targets = new HashMap<>();
    private final Set<String> failingTargets = new HashSet<>();
    private double ratio;
    private double oldFailures;
    private double oldMicros;
    private long oldCalls;
    private long guardedUntilMillis = Long.MIN_VALUE;

    private VersionGuard() {}

    /**
     * Returns a guard that lets calls through.
     *
     * @return a new guard
     */
    public static VersionGuard open() {
        return new VersionGuard();
    }

    /**
     * Tells whether calls are kept off the new version.
     *
     * @param nowMillis present time
     * @return true while they are
     */
    public boolean isGuarding(long nowMillis) {
        return nowMillis < guardedUntilMillis;
    }

    /**
     * Notes a call to the old version.
     *
     * @param result how it ended
     * @param micros time it took, in microseconds
     */
    public void noteOld(CallResult result, long micros) {
        if (result == CallResult.REFUSED) {
            return;
        }
        oldCalls++;
        double weight = 1 / Math.min(MEMORY_CALLS, oldCalls);
        boolean failed = result != CallResult.ANSWERED;
        oldFailures += weight * ((failed ? 1 : 0) - oldFailures);
        oldMicros += weight * (micros - oldMicros);
    }

    /**
     * Notes a call to the new version.
     *
     * @param target name of the node beside its target
     * @param result how it ended
     * @param micros time it took, in microseconds
     * @param readyTargets how many targets of the version are ready
     * @param nowMillis present time
     * @return true when this call sets the guard off
     */
    public boolean noteNew(
            String target, CallResult result, long micros, int readyTargets, long nowMillis) {
        if (result == CallResult.REFUSED || isGuarding(nowMillis)) {
            return false;
        }
        TargetRecord known = recordOf(target);
        known.calls++;
        boolean repeatedLoss =
                result == CallResult.LOST && nowMillis - known.lostMillis < LOSS_MILLIS;
        if (repeatedLoss) {
            return false;
        }
        if (result == CallResult.LOST) {
            known.lostMillis = nowMillis;
        }
        weigh(target, isBad(result, micros, known));
        boolean spread = failingTargets.size() >= 2 || readyTargets <= 1;
        if (ratio < LIMIT || !spread) {
            return false;
        }
        ratio = LIMIT / 2;
        guardedUntilMillis = nowMillis + GUARD_MILLIS;
        return true;
    }

    private void weigh(String target, boolean bad) {
        double expected = Math.clamp(2 * oldFailures, LEAST_EXPECTED_SHARE, MOST_EXPECTED_SHARE);
        if (bad) {
            failingTargets.add(target);
            ratio = Math.min(2 * LIMIT, ratio + Math.log(BAD_SHARE / expected));
        } else {
            ratio += Math.log((1 - BAD_SHARE) / (1 - expected));
        }
        if (ratio <= 0) {
            ratio = 0;
            failingTargets.clear();
        }
    }

    private boolean isBad(CallResult result, long micros, TargetRecord known) {
        if (result != CallResult.ANSWERED) {
            return true;
        }
        boolean comparable = oldCalls >= FEWEST_OLD_CALLS && known.calls > COLD_CALLS;
        return comparable && micros > SLOW_FACTOR * oldMicros;
    }

    private TargetRecord recordOf(String target) {
        if (targets.size() >= MOST_TARGETS && !targets.containsKey(target)) {
            targets.clear();
        }
        return targets.computeIfAbsent(target, name -> new TargetRecord());
    }
}
