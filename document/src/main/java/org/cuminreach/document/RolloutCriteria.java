package org.cuminreach.document;

import org.cuminreach.settings.CheckedObject;

/**
 * What counts as bad in a rollout, and how sure the judge has to be.
 *
 * @param falseAlarmPerMille highest chance that a good version is taken back, in a thousand
 * @param missPerMille highest chance that a version with the least harmful difference passes for
 *     good, in a thousand
 * @param failureDifferencePerMille least difference of failing calls, in a thousand, that counts as
 *     bad
 * @param slownessPercent least excess of answer times that counts as bad, in percent
 * @param watchSeconds time for which a finished rollout is watched, in seconds
 * @param thinEvidence what happens when the set time comes before there is evidence enough
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
     * Returns the criteria of a priority.
     *
     * @param priority what rollouts favour
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
     * Reads criteria; fields that are absent take the priority's.
     *
     * @param object the settings
     * @param priority what rollouts favour
     * @return the criteria
     */
    static RolloutCriteria read(CheckedObject object, RolloutPriority priority) {
        RolloutCriteria absent = defaultsFor(priority);
        return new RolloutCriteria(
                (int)
                        object.number(
                                "falseAlarmPerMille",
                                absent.falseAlarmPerMille,
                                1,
                                MAX_FALSE_ALARM_PER_MILLE),
                (int) object.number("missPerMille", absent.missPerMille, 1, MAX_MISS_PER_MILLE),
                (int)
                        object.number(
                                "failureDifferencePerMille",
                                absent.failureDifferencePerMille,
                                1,
                                MAX_FAILURE_DIFFERENCE_PER_MILLE),
                (int)
                        object.number(
                                "slownessPercent", absent.slownessPercent, 1, MAX_SLOWNESS_PERCENT),
                (int) object.number("watchSeconds", absent.watchSeconds, 0, MAX_WATCH_SECONDS),
                object.choice("thinEvidence", absent.thinEvidence));
    }
}
