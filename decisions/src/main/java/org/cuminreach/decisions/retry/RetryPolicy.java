package org.cuminreach.decisions.retry;

import java.util.random.RandomGenerator;

/** Decides whether a call is tried again. Only what cannot run twice by it is. */
public final class RetryPolicy {
    private static final int MAX_ATTEMPTS = 3;

    /**
     * Placements of a call that no target has seen. Each costs a crossing between nodes but nothing
     * at a target; after three full queues among a handful of targets a fourth is likely full too.
     */
    private static final int MAX_REFUSALS = 3;

    private static final long MAX_DELAY_MILLIS = 20;

    private RetryPolicy() {}

    /**
     * Reads the attempts that a call says were made for it before it came here. They count against
     * its own: a call below one that is being retried is not retried as often again.
     *
     * @param told the number that came with the call
     * @return the number, at most the most attempts there may be
     */
    public static int earlierAttempts(int told) {
        return Math.clamp(told, 0, MAX_ATTEMPTS);
    }

    /**
     * Decides what to do after an attempt.
     *
     * @param outcome what came of the attempt
     * @param progress how far the call has come, this attempt included
     * @param budget budget of this node
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

    /** A refusal after an attempt that may have run must not claim that the call has not run. */
    private static AttemptOutcome withEarlierAttempts(
            AttemptOutcome.NotRun notRun, CallProgress progress) {
        return progress.mayHaveRunBefore()
                ? new AttemptOutcome.MayHaveRun("earlier_attempt_then_" + notRun.reason())
                : notRun;
    }

    /** A call that no target has seen goes to another node at once, without cost to the budget. */
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
        int mostAttempts = Math.min(MAX_ATTEMPTS, progress.maxAttempts());
        if (progress.attempts() >= mostAttempts || !hasTime || !budget.tryWithdraw()) {
            return new RetryDecision.GiveUp(outcome);
        }
        return new RetryDecision.Retry(delay, reason);
    }
}
