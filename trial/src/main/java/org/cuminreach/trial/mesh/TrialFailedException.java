package org.cuminreach.trial.mesh;

/** Thrown if a step that the rest of a trial depends on fails. */
public final class TrialFailedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message the step that failed
     */
    public TrialFailedException(String message) {
        super(message);
    }

    /**
     * Checks a step.
     *
     * @param succeeded whether it succeeded
     * @param step description of the step
     * @throws TrialFailedException if it did not succeed
     */
    public static void require(boolean succeeded, String step) {
        if (!succeeded) {
            throw new TrialFailedException(step + " failed");
        }
    }
}
