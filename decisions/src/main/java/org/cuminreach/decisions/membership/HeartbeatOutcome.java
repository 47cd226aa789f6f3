package org.cuminreach.decisions.membership;

/** Result of processing a target's heartbeat. */
public sealed interface HeartbeatOutcome {
    /**
     * The heartbeat is the latest one of the current target.
     *
     * @param phase the target's phase according to it
     */
    record Accepted(TargetPhase phase) implements HeartbeatOutcome {}

    /**
     * The heartbeat is outdated and changes nothing.
     *
     * @param reason reason, for the log
     */
    record Outdated(String reason) implements HeartbeatOutcome {}
}
