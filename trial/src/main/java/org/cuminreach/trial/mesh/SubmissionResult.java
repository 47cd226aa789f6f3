package org.cuminreach.trial.mesh;

/**
 * The answer of a control to a submitted document.
 *
 * @param status HTTP status, or 0 if there was no answer
 * @param version accepted document version, or 0
 * @param body body of the answer
 */
public record SubmissionResult(int status, long version, String body) {
    private static final int ACCEPTED = 200;
    private static final int OUTCOME_UNKNOWN = 504;

    /**
     * Tells whether the document was accepted.
     *
     * @return true if it was accepted
     */
    public boolean isAccepted() {
        return status == ACCEPTED;
    }

    /**
     * Tells whether the outcome is unknown.
     *
     * @return true if it may have been accepted
     */
    public boolean isOutcomeUnknown() {
        return status == 0 || status == OUTCOME_UNKNOWN;
    }
}
