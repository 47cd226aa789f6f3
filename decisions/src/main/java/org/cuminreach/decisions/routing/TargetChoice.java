package org.cuminreach.decisions.routing;

/** What came of choosing a target. */
public sealed interface TargetChoice {
    /**
     * A target was chosen.
     *
     * @param target the target
     * @param reason why, for the log
     */
    record Chosen(TargetView target, String reason) implements TargetChoice {}

    /**
     * There is no target to send the call to.
     *
     * @param reason why, for the log
     */
    record NoTarget(String reason) implements TargetChoice {}
}
