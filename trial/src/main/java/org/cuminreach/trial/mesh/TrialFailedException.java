package org.cuminreach.trial.mesh;

/** A step without which a trial cannot go on did not succeed. */
public final class TrialFailedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message which step
     */
    public TrialFailedException(String message) {
        super(message);
    }

    /**
     * Checks a step.
     *
     * @param succeeded whether it succeeded
     * @param step what it was
     * @throws TrialFailedException when it did not
     */
    public static void require(boolean succeeded, String step) {
        if (!succeeded) {
            throw new TrialFailedException(step + " did not succeed");
        }
    }
}
