package org.cuminreach.decisions.configuration;

/** Where a rollout stands. */
public enum RolloutPhase {
    /** Traffic is moving. */
    MOVING,
    /** The wanted share is reached. */
    DONE,
    /** The new version was found bad and carries no traffic. */
    TAKEN_BACK,
    /** Traffic is moving, and the set time has passed. */
    LATE;

    /**
     * Tells whether traffic is still moving.
     *
     * @return true for a rollout that is neither done nor taken back
     */
    public boolean isMoving() {
        return this == MOVING || this == LATE;
    }
}
