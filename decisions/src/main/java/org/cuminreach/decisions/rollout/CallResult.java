package org.cuminreach.decisions.rollout;

/** Result of one attempt at a target, as evidence on the version of the target. */
public enum CallResult {
    /** The target sent a complete answer that is not an error. */
    ANSWERED,
    /** The target sent a complete answer that reports an error of the target. */
    FAILED,
    /** The connection closed before the answer was complete. */
    LOST,
    /** No answer was received before the timeout of the call. */
    TIMED_OUT,
    /** The call was not run: the target shed load, was draining or could not be reached. */
    REFUSED
}
