package org.cuminreach.decisions.routing;

/** Health of a target, as shown by a node's own calls to it. */
enum TargetHealth {
    /** The latest calls were answered. */
    HEALTHY,
    /** Several calls in a row were lost. */
    SUSPECT,
    /** Its node could not be reached. */
    UNREACHABLE
}
