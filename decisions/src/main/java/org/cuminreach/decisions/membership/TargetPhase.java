package org.cuminreach.decisions.membership;

/** Where a target stands in its life. */
public enum TargetPhase {
    /** It takes new work. */
    READY,
    /** It finishes what it has and takes no new work. */
    DRAINING,
    /** It is gone, by its own word or by the end of its lease. */
    GONE
}
