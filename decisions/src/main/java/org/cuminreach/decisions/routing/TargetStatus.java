package org.cuminreach.decisions.routing;

/** Status of a target, which says whether a new call may be sent to it. */
public enum TargetStatus {
    /** It accepts calls. */
    USABLE,
    /** It shed a call recently and is avoided for a short time. */
    PUSHED_BACK,
    /** Several calls to it were lost; it is avoided while enough healthy targets are left. */
    SUSPECT,
    /** Its node could not be reached; it is used only when no other target is left. */
    UNREACHABLE,
    /** Its probe backoff has passed: one call may probe it. */
    DUE_FOR_PROBE,
    /** It accepts no new calls. */
    DRAINING
}
