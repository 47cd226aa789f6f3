package org.cuminreach.decisions.rollout;

import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.document.Rollout;

/**
 * Durations of the parts of a rollout. The constants fit rollouts of forty seconds and more; a
 * shorter rollout gets proportionally shorter parts.
 *
 * @param minStageMillis minimum time between two steps, in milliseconds
 * @param baselineMillis time during which only the old version is observed, in milliseconds
 * @param observationMillis time during which a new judge only collects evidence, in milliseconds
 * @param finishingMillis time before the deadline in which a rollout is finished, in milliseconds
 * @param isShort whether there is too little time for a first stage of one percent
 */
record RolloutTiming(
        long minStageMillis,
        long baselineMillis,
        long observationMillis,
        long finishingMillis,
        boolean isShort) {
    /**
     * Time between the last step and the end of a rollout, in milliseconds. Calls that started on
     * the old version end within this time, so that its targets can be stopped afterwards.
     */
    static final long SETTLING_MILLIS = 2_500;

    /**
     * First share of a short rollout, per mille. At a hundred calls per second, a few seconds at
     * this share tell a bad version from a good one, and even a whole rollout at it exposes few
     * calls.
     */
    static final int FIRST_SHARE_PER_MILLE = 70;

    /** Calls to an unproven version beyond its share of all calls; operators allow 50. */
    static final int UNPROVEN_SLACK_CALLS = 30;

    /** Share of the calls of a short rollout for an unproven version; operators allow 100. */
    private static final int MAX_UNPROVEN_PER_MILLE = 80;

    private static final long FULL_LENGTH_MILLIS = 40_000;
    private static final long STAGE_MILLIS = 3_000;
    private static final long BASELINE_MILLIS = 3_000;
    private static final long OBSERVATION_MILLIS = 10_000;
    private static final long FINISHING_MILLIS = 8_000;

    /** Time for two reports of evidence from the nodes; a shorter step cannot show anything. */
    private static final long MIN_STAGE_MILLIS = 1_000;

    /** Settling time, and a second or more for the step to be replicated and to reach all nodes. */
    private static final long MIN_FINISHING_MILLIS = SETTLING_MILLIS + 1_500;

    static RolloutTiming of(Rollout wanted, RolloutProgress progress) {
        long totalMillis = wanted.doneBy().toEpochMilli() - progress.startedMillis();
        double scale = Math.clamp((double) totalMillis / FULL_LENGTH_MILLIS, 0, 1);
        return new RolloutTiming(
                Math.max(MIN_STAGE_MILLIS, Math.round(scale * STAGE_MILLIS)),
                Math.max(MIN_STAGE_MILLIS, Math.round(scale * BASELINE_MILLIS)),
                Math.round(scale * OBSERVATION_MILLIS),
                Math.max(MIN_FINISHING_MILLIS, Math.round(scale * FINISHING_MILLIS)),
                scale < 1);
    }

    /** Returns how many calls an unproven version may receive in a short rollout. */
    static double maxUnprovenCalls(double callsOfRollout) {
        return callsOfRollout * MAX_UNPROVEN_PER_MILLE / 1_000 + UNPROVEN_SLACK_CALLS;
    }
}
