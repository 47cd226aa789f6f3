package org.cuminreach.decisions.rollout;

import org.cuminreach.document.RolloutCriteria;

/**
 * Stages of a rollout and the evidence that each stage requires. The share of failing calls that
 * the evidence cannot exclude, multiplied by the share of the new version, stays bounded. Where
 * traffic is so thin that a larger share exposes hardly any calls, the number of exposed calls is
 * bounded instead.
 */
public final class RolloutStages {
    private static final int[] STAGES_PER_MILLE = {10, 50, 200, 500, 1_000};
    private static final double[] EXCLUDED_FAILURE_SHARES = {0.5, 0.25, 0.1, 0.05};
    private static final int[] THIN_SHARES_PER_MILLE = {250, 500, 1_000};
    private static final double[] THIN_EXCLUDED_FAILURE_SHARES = {0.9, 0.5, 0.25};
    private static final double PER_MILLE = 1_000.0;
    private static final int FULL_SHARE_PER_MILLE = 1_000;
    private static final int MAX_UNPROVEN_SHARE_PER_MILLE = 250;
    private static final double REACTION_MILLIS = 3_000;

    private RolloutStages() {}

    /**
     * Returns the stage that follows a share.
     *
     * @param sharePerMille current share
     * @return share of the next stage
     */
    public static int nextStage(int sharePerMille) {
        for (int stage : STAGES_PER_MILLE) {
            if (stage > sharePerMille) {
                return stage;
            }
        }
        return FULL_SHARE_PER_MILLE;
    }

    /**
     * Returns how many steps a rollout needs to get from a share to the wanted one.
     *
     * @param sharePerMille current share
     * @param wantedPerMille share at the end of the rollout
     * @return number of steps, at least 1
     */
    public static int stagesLeft(int sharePerMille, int wantedPerMille) {
        int steps = 1;
        for (int stage : STAGES_PER_MILLE) {
            if (stage > sharePerMille && stage < wantedPerMille) {
                steps++;
            }
        }
        return steps;
    }

    /**
     * Returns how many calls without a regression a stage needs before the next one.
     *
     * @param sharePerMille share of the stage
     * @param criteria error rates of the judge
     * @return number of calls
     */
    public static long callsNeeded(int sharePerMille, RolloutCriteria criteria) {
        for (int stage = 0; stage < EXCLUDED_FAILURE_SHARES.length; stage++) {
            if (sharePerMille <= STAGES_PER_MILLE[stage]) {
                return callsToExclude(EXCLUDED_FAILURE_SHARES[stage], criteria);
            }
        }
        return callsToExclude(
                EXCLUDED_FAILURE_SHARES[EXCLUDED_FAILURE_SHARES.length - 1], criteria);
    }

    /**
     * Returns the largest allowed share where traffic is too thin for the stages.
     *
     * @param calls calls of the new version without a regression
     * @param callsPerMilli calls of the service per millisecond
     * @param criteria error rates of the judge
     * @return the share, 0 to 1,000
     */
    public static int maxShareForThinTraffic(
            long calls, double callsPerMilli, RolloutCriteria criteria) {
        int share = maxUnprovenShare(callsPerMilli);
        for (int index = 0; index < THIN_SHARES_PER_MILLE.length; index++) {
            boolean excluded =
                    calls >= callsToExclude(THIN_EXCLUDED_FAILURE_SHARES[index], criteria);
            double exposed = callsPerMilli * REACTION_MILLIS * THIN_EXCLUDED_FAILURE_SHARES[index];
            double allowed = FULL_SHARE_PER_MILLE / Math.max(exposed, 1);
            if (excluded) {
                share = Math.max(share, (int) Math.min(allowed, THIN_SHARES_PER_MILLE[index]));
            }
        }
        return share;
    }

    /**
     * Returns the share at which at most one call is expected to reach the version within the
     * reaction time.
     */
    private static int maxUnprovenShare(double callsPerMilli) {
        double allowed = FULL_SHARE_PER_MILLE / Math.max(callsPerMilli * REACTION_MILLIS, 1);
        double bounded = Math.min(MAX_UNPROVEN_SHARE_PER_MILLE, allowed);
        return (int) Math.max(STAGES_PER_MILLE[0], bounded);
    }

    /** Returns the number of good calls in a row that excludes a share of failing calls. */
    private static long callsToExclude(double failureShare, RolloutCriteria criteria) {
        double miss = criteria.missPerMille() / PER_MILLE;
        return (long) Math.ceil(Math.log(miss) / Math.log(1 - failureShare));
    }
}
