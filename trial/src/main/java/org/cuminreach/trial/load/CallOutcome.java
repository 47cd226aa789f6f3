package org.cuminreach.trial.load;

/** Outcome of a call as seen by the caller. */
public enum CallOutcome {
    /** A complete successful answer to this call. */
    SUCCEEDED,
    /** A complete answer of the target with another status than 200. */
    FAILED,
    /** A refusal with the guarantee that the call was not executed. */
    NOT_RUN,
    /** No answer arrived, or the call may have been executed. */
    UNKNOWN,
    /** The answer to another call, which violates a guarantee of the mesh. */
    MISMATCHED
}
