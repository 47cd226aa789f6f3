package org.cuminreach.trial.balancing;

/** Faults that the model injects into a target. */
enum TargetFault {
    /** No fault. */
    NONE,
    /** Calls take five times as long. */
    SLOW,
    /** Its VM refuses connections, and the results of calls in progress are lost. */
    DEAD,
    /** Its VM does not respond: connection attempts time out, and results are lost. */
    UNRESPONSIVE,
    /** It has just started: calls take four times as long at first, and less as it warms up. */
    COLD,
    /** Every call fails in a fraction of its normal run time. */
    FAILING_FAST,
    /** Its load reports are one second old. */
    STALE_REPORTS,
    /** Its load reports always show it as idle. */
    MISLEADING_REPORTS,
    /** Run time grows with concurrency once more than half of its slots are in use. */
    THRASHING
}
