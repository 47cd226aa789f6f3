package org.cuminreach.decisions.routing;

/** Whether a node believes that a target takes calls. */
enum TargetHealth {
    /** The latest calls reached it. */
    HEALTHY,
    /** Several calls in a row were sent and lost. */
    SUSPECT,
    /** Its node could not be reached. */
    UNREACHABLE
}
