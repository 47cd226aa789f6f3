package org.cuminreach.decisions.retry;

/** Outcome of one attempt at a call. */
public sealed interface AttemptOutcome {
    /**
     * The target returned a complete answer.
     *
     * @param status HTTP status of its answer
     */
    record Answered(int status) implements AttemptOutcome {}

    /**
     * The call has certainly not been started by any target.
     *
     * @param reason reason code for the log and the caller
     * @param retryAfterMillis time after which capacity is expected, in milliseconds
     * @param reachedTarget true when the target itself refused the call, false when no target
     *     received it
     */
    record NotRun(String reason, long retryAfterMillis, boolean reachedTarget)
            implements AttemptOutcome {
        /**
         * Creates a refusal by the target itself.
         *
         * @param reason reason code for the log and the caller
         * @param retryAfterMillis time after which capacity is expected, in milliseconds
         */
        public NotRun(String reason, long retryAfterMillis) {
            this(reason, retryAfterMillis, true);
        }
    }

    /**
     * A target may have run the call, partly or completely.
     *
     * @param reason reason code for the log and the caller
     */
    record MayHaveRun(String reason) implements AttemptOutcome {}
}
