package org.cuminreach.decisions.membership;

/** What a node makes of a target's beat. */
public sealed interface HeartbeatOutcome {
    /**
     * The beat is the latest word of the present target.
     *
     * @param phase the target's phase by it
     */
    record Accepted(TargetPhase phase) implements HeartbeatOutcome {}

    /**
     * The beat changes nothing.
     *
     * @param reason why
     */
    record Outdated(String reason) implements HeartbeatOutcome {}
}
