package org.cuminreach.decisions.retry;

/** What to do after an attempt. */
public sealed interface RetryDecision {
    /** Hand the target's answer to the caller. */
    record Answer() implements RetryDecision {}

    /**
     * Try another target.
     *
     * @param delayMillis time to wait first, in milliseconds
     * @param reason why, for the log
     */
    record Retry(long delayMillis, String reason) implements RetryDecision {}

    /**
     * Give the caller its final answer at once.
     *
     * @param outcome the outcome to report, true as it stands
     */
    record GiveUp(AttemptOutcome outcome) implements RetryDecision {}
}
