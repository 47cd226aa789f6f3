package org.cuminreach.document;

/** What a rollout favours when there is little evidence. */
public enum RolloutPriority {
    /** Roll back rather than expose callers to a version that may be bad. */
    SAFETY,
    /** Complete by the deadline unless a regression has been detected. */
    PUNCTUALITY
}
