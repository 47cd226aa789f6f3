package org.cuminreach.trial.balancing;

/** What may be wrong with a target of the model. */
enum TargetFault {
    /** Nothing. */
    NONE,
    /** Calls take five times as long. */
    SLOW,
    /** Its VM refuses connections and loses what it had. */
    DEAD,
    /** Its VM does not even refuse connections. */
    UNRESPONSIVE,
    /** It has just started: calls take four times as long at first. */
    COLD,
    /** Every call fails within a moment. */
    FAILING_FAST,
    /** Its load reports are a second old. */
    STALE_REPORTS,
    /** Its load reports say that it is idle. */
    MISLEADING_REPORTS,
    /** Calls take longer the more of them run, from half of its slots on. */
    THRASHING
}
