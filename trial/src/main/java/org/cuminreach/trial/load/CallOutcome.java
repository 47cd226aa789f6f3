package org.cuminreach.trial.load;

/** What a caller saw of a call. */
public enum CallOutcome {
    /** The whole answer to this call. */
    SUCCEEDED,
    /** A whole answer that says that the target failed. */
    FAILED,
    /** A refusal that says that the call has not run. */
    NOT_RUN,
    /** The call may have run, or nothing was heard. */
    UNKNOWN,
    /** The answer to another call: a broken promise. */
    MISMATCHED
}
