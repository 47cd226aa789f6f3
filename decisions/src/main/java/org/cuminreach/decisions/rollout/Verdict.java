package org.cuminreach.decisions.rollout;

/** Decision of the judge on a rollout. */
public sealed interface Verdict {
    /** Keeps the current share. */
    record Wait() implements Verdict {}

    /**
     * Increases the share of the new version.
     *
     * @param sharePerMille the next share, 0 to 1,000
     * @param reason reason of the decision
     */
    record Advance(int sharePerMille, String reason) implements Verdict {}

    /**
     * Completes the rollout: the wanted share is reached.
     *
     * @param reason reason of the decision
     */
    record Done(String reason) implements Verdict {}

    /**
     * Rolls back the new version.
     *
     * @param reason reason of the decision
     */
    record RollBack(String reason) implements Verdict {}

    /**
     * Marks the rollout as late: its deadline has passed, and it continues.
     *
     * @param reason reason of the delay
     */
    record Late(String reason) implements Verdict {}
}
