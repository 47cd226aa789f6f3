package org.cuminreach.decisions.membership;

/** Lifecycle phase of a target. */
public enum TargetPhase {
    /** It accepts new calls. */
    READY,
    /** It completes its calls and accepts no new ones. */
    DRAINING,
    /** It has deregistered or its lease has expired. */
    GONE
}
