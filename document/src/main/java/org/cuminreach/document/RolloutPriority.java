package org.cuminreach.document;

/** Preference of a rollout when there is little evidence. */
public enum RolloutPriority {
    /** Roll back rather than expose callers to a version that may be bad. */
    SAFETY,
    /** Complete by the deadline unless a regression has been detected. */
    PUNCTUALITY
}
