package org.cuminreach.decisions.routing;

/** How far a target may be used for a fresh call. */
public enum TargetStatus {
    /** It takes calls. */
    USABLE,
    /** It shed a call a moment ago. */
    PUSHED_BACK,
    /** Calls to it were lost; it is avoided while enough others are left. */
    SUSPECT,
    /** Its node could not be reached; it is avoided while any other is left. */
    UNREACHABLE,
    /** It was avoided for long enough: one call may try it. */
    DUE_FOR_PROBE,
    /** It takes no new work. */
    DRAINING
}
