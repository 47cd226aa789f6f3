package org.cuminreach.trial.mesh;

/**
 * What a control answered to a submission.
 *
 * @param status HTTP status, or 0 when there was no answer
 * @param version accepted document version, or 0
 * @param body the answer
 */
public record SubmissionResult(int status, long version, String body) {
    private static final int ACCEPTED = 200;
    private static final int OUTCOME_UNKNOWN = 504;

    /**
     * Tells whether the document was accepted.
     *
     * @return true when it was
     */
    public boolean isAccepted() {
        return status == ACCEPTED;
    }

    /**
     * Tells whether the outcome is not known.
     *
     * @return true when it may have been accepted
     */
    public boolean isOutcomeUnknown() {
        return status == 0 || status == OUTCOME_UNKNOWN;
    }
}
