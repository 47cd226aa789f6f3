package org.cuminreach.decisions.configuration;

/** Where a rollout stands. */
public enum RolloutPhase {
    /** Traffic is moving. */
    MOVING,
    /** The wanted share is reached. */
    DONE,
    /** The new version was found bad and carries no traffic. */
    TAKEN_BACK
}
