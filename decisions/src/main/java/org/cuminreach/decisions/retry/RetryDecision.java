package org.cuminreach.decisions.retry;

/** Decision on how to continue after an attempt. */
public sealed interface RetryDecision {
    /** Return the target's answer to the caller. */
    record Answer() implements RetryDecision {}

    /**
     * Retry with another target.
     *
     * @param delayMillis delay before the retry, in milliseconds
     * @param reason reason code for the log
     */
    record Retry(long delayMillis, String reason) implements RetryDecision {}

    /**
     * Report the outcome to the caller without a further attempt.
     *
     * @param outcome the outcome to report, which covers earlier attempts as well
     */
    record GiveUp(AttemptOutcome outcome) implements RetryDecision {}
}
