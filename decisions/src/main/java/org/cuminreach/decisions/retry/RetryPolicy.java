package org.cuminreach.decisions.retry;

import java.util.random.RandomGenerator;

/**
 * Decides whether a call is retried. A call that is not idempotent is retried only when no attempt
 * of it may have run.
 */
public final class RetryPolicy {
    private static final int MAX_ATTEMPTS = 3;

    /**
     * Maximum number of refusals of a call before it reaches a target. Each costs a transfer
     * between nodes but nothing at a target. After three full queues among a few targets, a fourth
     * is likely full as well.
     */
    private static final int MAX_REFUSALS = 3;

    private static final long MAX_DELAY_MILLIS = 20;

    private RetryPolicy() {}

    /**
     * Limits the number of earlier attempts that a call reports. They count towards its maximum, so
     * that the retries of nested calls do not multiply.
     *
     * @param reported number that came with the call
     * @return the number, between 0 and the maximum number of attempts
     */
    public static int earlierAttempts(int reported) {
        return Math.clamp(reported, 0, MAX_ATTEMPTS);
    }

    /**
     * Decides what to do after an attempt.
     *
     * @param outcome outcome of the attempt
     * @param progress state of the call, this attempt included
     * @param budget retry budget of this node
     * @param random source of the jitter
     * @return the decision
     */
    public static RetryDecision decide(
            AttemptOutcome outcome,
            CallProgress progress,
            RetryBudget budget,
            RandomGenerator random) {
        return switch (outcome) {
            case AttemptOutcome.Answered answered -> new RetryDecision.Answer();
            case AttemptOutcome.NotRun notRun when progress.abandoned() ->
                    new RetryDecision.GiveUp(withEarlierAttempts(notRun, progress));
            case AttemptOutcome.MayHaveRun mayHaveRun when progress.abandoned() ->
                    new RetryDecision.GiveUp(mayHaveRun);
            case AttemptOutcome.NotRun notRun when !notRun.reachedTarget() ->
                    rerouteOrGiveUp(withEarlierAttempts(notRun, progress), progress);
            case AttemptOutcome.NotRun notRun ->
                    retryOrGiveUp(
                            withEarlierAttempts(notRun, progress),
                            "not_run",
                            progress,
                            budget,
                            random);
            case AttemptOutcome.MayHaveRun mayHaveRun ->
                    progress.idempotent()
                            ? retryOrGiveUp(mayHaveRun, "idempotent", progress, budget, random)
                            : new RetryDecision.GiveUp(mayHaveRun);
        };
    }

    /** Prevents a refusal after an attempt that may have run from reporting that it has not run. */
    private static AttemptOutcome withEarlierAttempts(
            AttemptOutcome.NotRun notRun, CallProgress progress) {
        return progress.mayHaveRunBefore()
                ? new AttemptOutcome.MayHaveRun("earlier_attempt_then_" + notRun.reason())
                : notRun;
    }

    /** Sends a call that reached no target to another node at once, at no cost to the budget. */
    private static RetryDecision rerouteOrGiveUp(AttemptOutcome outcome, CallProgress progress) {
        return progress.refusals() < MAX_REFUSALS && progress.remainingMillis() > 0
                ? new RetryDecision.Retry(0, "no_target_reached")
                : new RetryDecision.GiveUp(outcome);
    }

    private static RetryDecision retryOrGiveUp(
            AttemptOutcome outcome,
            String reason,
            CallProgress progress,
            RetryBudget budget,
            RandomGenerator random) {
        long delay = random.nextLong(MAX_DELAY_MILLIS + 1);
        boolean hasTime = progress.remainingMillis() > delay;
        int maxAttempts = Math.min(MAX_ATTEMPTS, progress.maxAttempts());
        if (progress.attempts() >= maxAttempts || !hasTime || !budget.tryWithdraw()) {
            return new RetryDecision.GiveUp(outcome);
        }
        return new RetryDecision.Retry(delay, reason);
    }
}
