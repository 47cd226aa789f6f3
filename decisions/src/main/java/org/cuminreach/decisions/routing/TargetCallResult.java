package org.cuminreach.decisions.routing;

/** What a call to a target met, as far as choosing targets is concerned. */
public enum TargetCallResult {
    /** The target answered whole. */
    SUCCEEDED,
    /** The target answered whole that it failed. */
    FAILED,
    /** The target's node refused the call before it ran. */
    SHED,
    /** The target's node could not be reached. */
    UNREACHABLE,
    /** The call was sent and no whole answer came. */
    LOST
}
