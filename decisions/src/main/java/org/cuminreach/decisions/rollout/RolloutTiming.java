package org.cuminreach.decisions.rollout;

import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.document.Rollout;

/**
 * How long the parts of a rollout take. They were sized for moves of forty seconds and more; a
 * shorter move gets shorter parts in proportion.
 *
 * @param minStageMillis shortest time between two steps, in milliseconds
 * @param baselineMillis time for which only the old version is watched, in milliseconds
 * @param observationMillis time for which a new judge only listens, in milliseconds
 * @param finishingMillis time before the set time in which a move is finished, in milliseconds
 * @param isShort whether there is too little time for a first stage of a hundredth
 */
record RolloutTiming(
        long minStageMillis,
        long baselineMillis,
        long observationMillis,
        long finishingMillis,
        boolean isShort) {
    /**
     * Time between the whole share and the end of a move, in milliseconds: calls that began at the
     * old version end within it, and its targets may stop afterwards.
     */
    static final long SETTLING_MILLIS = 2_500;

    /**
     * First share of a short move, in a thousand. A few seconds at it tell a bad version from a
     * good one at a hundred calls a second, and the whole move at it stays a small share.
     */
    static final int FIRST_SHARE_PER_MILLE = 70;

    /** Calls that an unproven version may get beyond its part of a thousand; operators allow 50. */
    static final int UNPROVEN_SLACK_CALLS = 30;

    /** Part of the calls of a short move that an unproven version may get; operators allow 100. */
    private static final int MAX_UNPROVEN_PER_MILLE = 80;

    private static final long FULL_LENGTH_MILLIS = 40_000;
    private static final long STAGE_MILLIS = 3_000;
    private static final long BASELINE_MILLIS = 3_000;
    private static final long OBSERVATION_MILLIS = 10_000;
    private static final long FINISHING_MILLIS = 8_000;

    /** Two rounds of evidence from the nodes; less than that a step cannot show anything. */
    private static final long MIN_STAGE_MILLIS = 1_000;

    /** Settling, and a second for the step to be agreed and to reach all nodes. */
    private static final long MIN_FINISHING_MILLIS = SETTLING_MILLIS + 1_500;

    static RolloutTiming of(Rollout wanted, RolloutProgress progress) {
        long total = wanted.doneBy().toEpochMilli() - progress.startedMillis();
        double scale = Math.clamp((double) total / FULL_LENGTH_MILLIS, 0, 1);
        return new RolloutTiming(
                Math.max(MIN_STAGE_MILLIS, Math.round(scale * STAGE_MILLIS)),
                Math.max(MIN_STAGE_MILLIS, Math.round(scale * BASELINE_MILLIS)),
                Math.round(scale * OBSERVATION_MILLIS),
                Math.max(MIN_FINISHING_MILLIS, Math.round(scale * FINISHING_MILLIS)),
                scale < 1);
    }

    /**
     * Returns how many calls an unproven version may get in a short move with a number of calls.
     */
    static double maxUnprovenCalls(double callsOfMove) {
        return callsOfMove * MAX_UNPROVEN_PER_MILLE / 1_000 + UNPROVEN_SLACK_CALLS;
    }
}
