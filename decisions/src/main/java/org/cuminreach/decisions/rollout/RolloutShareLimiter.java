package org.cuminreach.decisions.rollout;

/**
 * Keeps the calls that run at a new version to its share of all calls that run. Calls are drawn for
 * a version before it is known whether they run: where the old version refuses many of its calls
 * under overload, those drawn for the new one alone would be more than its share of what runs. Not
 * safe for several threads at once.
 */
public final class RolloutShareLimiter {
    /** Calls by which a node may be ahead of the share, so that each node can begin. */
    private static final double INITIAL_CALLS = 1;

    /** Calls that a node may catch up at most; more would meet the version in one moment. */
    private static final double MAX_CALLS = 3;

    private static final double WHOLE_PER_MILLE = 1_000;

    private double availableCalls = INITIAL_CALLS;

    private RolloutShareLimiter() {}

    /**
     * Returns the balance of a version that no call has met.
     *
     * @return a balance with which the first call may be sent
     */
    public static RolloutShareLimiter create() {
        return new RolloutShareLimiter();
    }

    /**
     * Notes that a call reached a target of the service.
     *
     * @param ofNewVersion whether the target runs the new version
     * @param sharePerMille share of the new version
     */
    public void recordCall(boolean ofNewVersion, int sharePerMille) {
        availableCalls = Math.min(MAX_CALLS, availableCalls + sharePerMille / WHOLE_PER_MILLE);
        if (ofNewVersion) {
            availableCalls--;
        }
    }

    /**
     * Tells whether the new version has had its share of the calls that ran.
     *
     * @return true while no further call is to be sent to it
     */
    public boolean isExhausted() {
        return availableCalls <= 0;
    }
}
