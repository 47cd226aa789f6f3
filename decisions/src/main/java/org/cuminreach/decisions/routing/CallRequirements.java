package org.cuminreach.decisions.routing;

/**
 * What a call needs of a target.
 *
 * @param mayProbe true when the call may run again if it is lost, so that it may be sent to a
 *     target in doubt
 * @param priority rank of its route, 0 the highest
 * @param typicalRunMillis how long such a call usually runs, in milliseconds; 0 when not known
 * @param slackMillis time that it can wait and still be on time, in milliseconds
 * @param relativeSize bytes that such a call moves beside the average call
 */
public record CallRequirements(
        boolean mayProbe,
        int priority,
        double typicalRunMillis,
        double slackMillis,
        double relativeSize) {
    /**
     * Returns the need of a call of which only this is known.
     *
     * @param mayProbe true when it may be sent to a target in doubt
     * @return a need without an objective
     */
    public static CallRequirements withoutObjective(boolean mayProbe) {
        return new CallRequirements(mayProbe, 0, 0, Double.MAX_VALUE, 1);
    }
}
