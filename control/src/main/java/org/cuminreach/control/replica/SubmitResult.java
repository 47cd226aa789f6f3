package org.cuminreach.control.replica;

import org.cuminreach.decisions.configuration.SubmissionOutcome;

/** What came of handing a command to the controls. */
public sealed interface SubmitResult {
    /**
     * The log decided.
     *
     * @param outcome its answer
     */
    record Decided(SubmissionOutcome outcome) implements SubmitResult {}

    /**
     * The command was not and will not be run.
     *
     * @param reason why
     */
    record NotRun(String reason) implements SubmitResult {}

    /**
     * The command may or may not take effect; the same idempotency key tells.
     *
     * @param reason why nothing more is known
     */
    record Unknown(String reason) implements SubmitResult {}
}
