package org.cuminreach.document;

import org.cuminreach.settings.CheckedObject;

/**
 * Regression thresholds of a rollout and error probabilities of the statistical decision.
 *
 * @param falseAlarmPerMille maximum probability that a good version is rolled back, per mille
 * @param missPerMille maximum probability that a version with the smallest regression that counts
 *     is accepted as good, per mille
 * @param failureDifferencePerMille smallest increase of the failure rate that counts as a
 *     regression, per mille of the calls
 * @param slownessPercent smallest increase of latency that counts as a regression, in percent
 * @param watchSeconds time for which a completed rollout is monitored, in seconds
 * @param thinEvidence handling of a deadline that passes before there is enough evidence
 */
public record RolloutCriteria(
        int falseAlarmPerMille,
        int missPerMille,
        int failureDifferencePerMille,
        int slownessPercent,
        int watchSeconds,
        ThinEvidence thinEvidence) {
    private static final int DEFAULT_WATCH_SECONDS = 600;
    private static final int DEFAULT_SLOWNESS_PERCENT = 50;
    private static final int MAX_FALSE_ALARM_PER_MILLE = 200;
    private static final int MAX_MISS_PER_MILLE = 500;
    private static final int MAX_FAILURE_DIFFERENCE_PER_MILLE = 1_000;
    private static final int MAX_SLOWNESS_PERCENT = 1_000;
    private static final int MAX_WATCH_SECONDS = 86_400;

    /**
     * Returns the default criteria of a priority.
     *
     * @param priority priority of the rollout
     * @return its criteria
     */
    public static RolloutCriteria defaultsFor(RolloutPriority priority) {
        return switch (priority) {
            case SAFETY ->
                    new RolloutCriteria(
                            10,
                            10,
                            20,
                            DEFAULT_SLOWNESS_PERCENT,
                            DEFAULT_WATCH_SECONDS,
                            ThinEvidence.WAIT);
            case PUNCTUALITY ->
                    new RolloutCriteria(
                            2,
                            50,
                            50,
                            DEFAULT_SLOWNESS_PERCENT,
                            DEFAULT_WATCH_SECONDS,
                            ThinEvidence.FINISH);
        };
    }

    /**
     * Reads criteria; absent fields take the defaults of the priority.
     *
     * @param object JSON object of the criteria
     * @param priority priority of the rollout
     * @return the criteria
     */
    static RolloutCriteria read(CheckedObject object, RolloutPriority priority) {
        RolloutCriteria defaults = defaultsFor(priority);
        return new RolloutCriteria(
                (int)
                        object.number(
                                "falseAlarmPerMille",
                                defaults.falseAlarmPerMille,
                                1,
                                MAX_FALSE_ALARM_PER_MILLE),
                (int) object.number("missPerMille", defaults.missPerMille, 1, MAX_MISS_PER_MILLE),
                (int)
                        object.number(
                                "failureDifferencePerMille",
                                defaults.failureDifferencePerMille,
                                1,
                                MAX_FAILURE_DIFFERENCE_PER_MILLE),
                (int)
                        object.number(
                                "slownessPercent",
                                defaults.slownessPercent,
                                1,
                                MAX_SLOWNESS_PERCENT),
                (int) object.number("watchSeconds", defaults.watchSeconds, 0, MAX_WATCH_SECONDS),
                object.choice("thinEvidence", defaults.thinEvidence));
    }
}
