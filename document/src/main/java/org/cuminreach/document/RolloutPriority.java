package org.cuminreach.document;

/** What a rollout is to favour when evidence is thin. */
public enum RolloutPriority {
    /** Take a version back rather than risk callers on one that may be bad. */
    SAFETY,
    /** Finish by the set time unless badness has shown. */
    PUNCTUALITY
}
