package org.cuminreach.decisions.rollout;

/**
 * Limits the calls that run on a new version to its share of all calls that run. The version of a
 * call is chosen before it is known whether the call runs. When the old version refuses many calls
 * under overload, the choice alone would give the new version more than its share of the calls that
 * run. Not thread-safe.
 */
public final class RolloutShareLimiter {
    /** Calls that a node may send ahead of the share, so that every node can send a first call. */
    private static final double INITIAL_CALLS = 1;

    /** Upper bound on the unused share, so that a node does not send a burst of calls. */
    private static final double MAX_CALLS = 3;

    private static final double PER_MILLE = 1_000;

    private double availableCalls = INITIAL_CALLS;

    private RolloutShareLimiter() {}

    /**
     * Returns a limiter for a version without calls.
     *
     * @return a limiter that allows a first call
     */
    public static RolloutShareLimiter create() {
        return new RolloutShareLimiter();
    }

    /**
     * Records that a call reached a target of the service.
     *
     * @param ofNewVersion whether the target runs the new version
     * @param sharePerMille share of the new version, 0 to 1,000
     */
    public void recordCall(boolean ofNewVersion, int sharePerMille) {
        availableCalls = Math.min(MAX_CALLS, availableCalls + sharePerMille / PER_MILLE);
        if (ofNewVersion) {
            availableCalls--;
        }
    }

    /**
     * Tells whether the new version has received its share of the calls that ran.
     *
     * @return true while no further call may be sent to it
     */
    public boolean isExhausted() {
        return availableCalls <= 0;
    }
}
