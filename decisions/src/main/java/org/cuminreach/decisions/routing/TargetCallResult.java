package org.cuminreach.decisions.routing;

/** Result of a call to a target, as far as load balancing is concerned. */
public enum TargetCallResult {
    /** The target sent a complete response that is no failure. */
    SUCCEEDED,
    /** The target sent a complete response that reports a failure. */
    FAILED,
    /** The target's node refused the call before it ran (load shedding). */
    SHED,
    /** The target's node refused a long body because its link is busy, not its target. */
    BODY_REFUSED,
    /** The target's node could not be reached. */
    UNREACHABLE,
    /** The call was sent and no complete response arrived. */
    LOST
}
