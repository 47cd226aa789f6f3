package org.cuminreach.decisions.configuration;

/** Phase of a rollout. */
public enum RolloutPhase {
    /** Traffic is being shifted to the new version. */
    MOVING,
    /** The requested share is reached. */
    DONE,
    /** The new version failed its evaluation, was rolled back and receives no traffic. */
    TAKEN_BACK,
    /** Traffic is still being shifted, although the deadline of the rollout has passed. */
    LATE;

    /**
     * Returns whether traffic is still being shifted.
     *
     * @return true for a rollout that is neither done nor rolled back
     */
    public boolean isInProgress() {
        return this == MOVING || this == LATE;
    }
}
