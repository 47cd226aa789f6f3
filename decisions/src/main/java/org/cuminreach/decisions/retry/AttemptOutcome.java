package org.cuminreach.decisions.retry;

/** What came of one attempt at a call. */
public sealed interface AttemptOutcome {
    /**
     * The target answered whole.
     *
     * @param status HTTP status of its answer
     */
    record Answered(int status) implements AttemptOutcome {}

    /**
     * No target can have begun the call.
     *
     * @param reason why, for the log and the caller
     * @param retryAfterMillis time after which the refuser expects to have room, in milliseconds
     * @param reachedTarget true when the target itself refused it, false when no target saw it
     */
    record NotRun(String reason, long retryAfterMillis, boolean reachedTarget)
            implements AttemptOutcome {
        /**
         * Returns a refusal by the target itself.
         *
         * @param reason why it did not run
         * @param retryAfterMillis when it may be worth another try, in milliseconds
         */
        public NotRun(String reason, long retryAfterMillis) {
            this(reason, retryAfterMillis, true);
        }
    }

    /**
     * A target may have run the call, in part or whole.
     *
     * @param reason why nothing more is known
     */
    record MayHaveRun(String reason) implements AttemptOutcome {}
}
