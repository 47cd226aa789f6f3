package org.cuminreach.control.replica;

import org.cuminreach.decisions.configuration.SubmissionOutcome;

/** The result of submitting a command to the controls. */
public sealed interface SubmitResult {
    /**
     * The committed log decided the outcome.
     *
     * @param outcome the outcome
     */
    record Decided(SubmissionOutcome outcome) implements SubmitResult {}

    /**
     * The command was not executed and will not be.
     *
     * @param reason why it was rejected
     */
    record NotRun(String reason) implements SubmitResult {}

    /**
     * The command may or may not take effect; a retry with the same idempotency key tells which.
     *
     * @param reason why the outcome is unknown
     */
    record Unknown(String reason) implements SubmitResult {}
}
