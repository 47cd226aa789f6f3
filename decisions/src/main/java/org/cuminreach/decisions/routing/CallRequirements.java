package org.cuminreach.decisions.routing;

import java.util.Optional;

/**
 * Requirements of a call for the choice of its target.
 *
 * @param mayProbe true when the call may run again if it is lost, so that it may probe a target
 *     that is suspect or unreachable
 * @param priority priority of its route, 0 being the highest
 * @param typicalRunMillis typical running time of such a call, in milliseconds; 0 when not known
 * @param slackMillis time that it can wait and still meet its objective, in milliseconds
 * @param relativeSize bytes that such a call transfers, relative to the average call
 * @param preferredHost IP address of the VM whose target is preferred while the call is on time
 *     there, since its body then crosses no link; empty for none
 */
public record CallRequirements(
        boolean mayProbe,
        int priority,
        double typicalRunMillis,
        double slackMillis,
        double relativeSize,
        Optional<String> preferredHost) {
    /**
     * Returns requirements without a preferred VM.
     *
     * @param mayProbe true when the call may probe a target that is suspect or unreachable
     * @param priority priority of its route, 0 being the highest
     * @param typicalRunMillis typical running time of such a call, in milliseconds; 0 when not
     *     known
     * @param slackMillis time that it can wait and still meet its objective, in milliseconds
     * @param relativeSize bytes that such a call transfers, relative to the average call
     */
    public CallRequirements(
            boolean mayProbe,
            int priority,
            double typicalRunMillis,
            double slackMillis,
            double relativeSize) {
        this(mayProbe, priority, typicalRunMillis, slackMillis, relativeSize, Optional.empty());
    }

    /**
     * Returns the same requirements with a preferred VM.
     *
     * @param host its IP address
     * @return the requirements
     */
    public CallRequirements preferringHost(String host) {
        return new CallRequirements(
                mayProbe, priority, typicalRunMillis, slackMillis, relativeSize, Optional.of(host));
    }

    /**
     * Returns the requirements of a call without objective whose running time is not known.
     *
     * @param mayProbe true when it may probe a target that is suspect or unreachable
     * @return requirements of the highest priority
     */
    public static CallRequirements withoutObjective(boolean mayProbe) {
        return new CallRequirements(mayProbe, 0, 0, Double.MAX_VALUE, 1);
    }
}
