package org.cuminreach.decisions.routing;

/** Result of choosing a target. */
public sealed interface TargetChoice {
    /**
     * A target was chosen.
     *
     * @param target the target
     * @param reason reason code, for the log
     */
    record Chosen(TargetView target, String reason) implements TargetChoice {}

    /**
     * There is no target that the call can be sent to.
     *
     * @param reason reason code, for the log
     */
    record NoTarget(String reason) implements TargetChoice {}
}
