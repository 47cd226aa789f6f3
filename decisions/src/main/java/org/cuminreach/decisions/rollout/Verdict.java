package org.cuminreach.decisions.rollout;

/** What the judge decides for a rollout. */
public sealed interface Verdict {
    /** Nothing changes now. */
    record Wait() implements Verdict {}

    /**
     * Give the new version this share.
     *
     * @param sharePerMille the share
     * @param reason why
     */
    record Advance(int sharePerMille, String reason) implements Verdict {}

    /**
     * The wanted share is reached.
     *
     * @param reason why
     */
    record Done(String reason) implements Verdict {}

    /**
     * The new version is bad.
     *
     * @param reason why
     */
    record RollBack(String reason) implements Verdict {}

    /**
     * The set time has passed and the move is not done; it goes on.
     *
     * @param reason why it is late
     */
    record Late(String reason) implements Verdict {}
}
