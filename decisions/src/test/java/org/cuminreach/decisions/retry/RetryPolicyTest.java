package org.cuminreach.decisions.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

class RetryPolicyTest {
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_DEPTH = 9;

    /** Result of a call with all its attempts, made as by a node. */
    private record CallResult(int attempts, boolean ran, AttemptOutcome last) {}

    @Provide
    Arbitrary<List<AttemptOutcome>> outcomes() {
        return Arbitraries.of(
                        new AttemptOutcome.Answered(200),
                        new AttemptOutcome.NotRun("refused", 5),
                        new AttemptOutcome.MayHaveRun("lost"))
                .list()
                .ofMinSize(8)
                .ofMaxSize(8)
                .map(List::copyOf);
    }

    @Property(seed = "5201")
    void neverRetriesNonIdempotentCallThatMayHaveRun(
            @ForAll("outcomes") List<AttemptOutcome> outcomes, @ForAll long seed) {
        CallResult result = runCall(outcomes, false, 0, seed);
        long mayHaveRun =
                outcomes.stream()
                        .limit(result.attempts())
                        .filter(outcome -> !(outcome instanceof AttemptOutcome.NotRun))
                        .count();
        assertThat(mayHaveRun).isAtMost(1);
    }

    @Property(seed = "5202")
    void neverReportsNotRunAfterAttemptThatMayHaveRun(
            @ForAll("outcomes") List<AttemptOutcome> outcomes,
            @ForAll boolean idempotent,
            @ForAll long seed) {
        CallResult result = runCall(outcomes, idempotent, 0, seed);
        if (result.ran()) {
            assertThat(result.last()).isNotInstanceOf(AttemptOutcome.NotRun.class);
        }
    }

    @Property(seed = "5203")
    void attemptsAreBounded(
            @ForAll("outcomes") List<AttemptOutcome> outcomes,
            @ForAll boolean idempotent,
            @ForAll int reported,
            @ForAll long seed) {
        int earlierAttempts = RetryPolicy.earlierAttempts(reported);
        CallResult result = runCall(outcomes, idempotent, earlierAttempts, seed);
        assertThat(result.attempts()).isAtMost(Math.max(1, MAX_ATTEMPTS - earlierAttempts));
    }

    @Example
    void attemptThatEndsAfterItsCallIsSentNowhereElse() {
        RetryBudget budget = RetryBudget.withDefaultReserve();
        CallProgress ended = new CallProgress(true, false, 0, 1_000, MAX_ATTEMPTS, 0, true);
        for (AttemptOutcome outcome :
                List.of(
                        new AttemptOutcome.NotRun("abandoned_before_sending", 0, false),
                        new AttemptOutcome.NotRun("refused", 5, true),
                        new AttemptOutcome.MayHaveRun("abandoned"))) {
            assertThat(RetryPolicy.decide(outcome, ended, budget, new Random(1)))
                    .isEqualTo(new RetryDecision.GiveUp(outcome));
        }
    }

    @Property(seed = "5204")
    void retriesAreBoundedByFreshCalls(@ForAll @IntRange(max = 5_000) int calls) {
        RetryBudget budget = RetryBudget.withDefaultReserve();
        int retries = 0;
        for (int call = 0; call < calls; call++) {
            budget.deposit();
            while (budget.tryWithdraw()) {
                retries++;
            }
        }
        assertThat(retries).isAtMost(10 + calls / 10);
    }

    @Example
    void retriesOfAllNodesTogetherAreBounded() {
        assertThat(retriesWhenAllCallsFail(24, 100)).isAtMost(24 * 100 / 5 + 64);
    }

    @Example
    void reservesOfManyNodesWithFewCallsAreBoundedTogether() {
        assertThat(retriesWhenAllCallsFail(84, 1)).isAtMost(84 / 5 + 208);
    }

    /**
     * Returns the retries of all nodes whose calls to a service all fail at once after a long time
     * of success.
     */
    private static int retriesWhenAllCallsFail(int nodes, int callsOfEachNode) {
        int retries = 0;
        for (int node = 0; node < nodes; node++) {
            RetryBudget budget = ServiceRetryBudgets.create(() -> nodes).forService("verksted");
            for (int earlierCall = 0; earlierCall < 10_000; earlierCall++) {
                budget.deposit();
            }
            for (int call = 0; call < callsOfEachNode; call++) {
                budget.deposit();
                while (budget.tryWithdraw()) {
                    retries++;
                }
            }
        }
        return retries;
    }

    @Example
    void attemptsAtFailingLeafDoNotMultiplyWithDepth() {
        assertThat(leafAttempts(MAX_DEPTH, 0)).isAtMost(4);
        assertThat(leafAttempts(MAX_DEPTH, 0)).isEqualTo(leafAttempts(MAX_ATTEMPTS, 0));
    }

    /** Returns the attempts at the leaf when every level makes as many attempts as allowed. */
    private static int leafAttempts(int depth, int reported) {
        int attempts = RetryPolicy.earlierAttempts(reported);
        int leaf = 0;
        RetryDecision decision;
        do {
            attempts++;
            leaf += depth == 1 ? 1 : leafAttempts(depth - 1, attempts);
            decision = decide(new AttemptOutcome.MayHaveRun("lost"), true, true, attempts, 1);
        } while (decision instanceof RetryDecision.Retry);
        return leaf;
    }

    private static CallResult runCall(
            List<AttemptOutcome> outcomes, boolean idempotent, int earlierAttempts, long seed) {
        int attempts = 0;
        boolean mayHaveRun = false;
        boolean ran = false;
        for (AttemptOutcome outcome : outcomes) {
            attempts++;
            RetryDecision decision =
                    decide(outcome, idempotent, mayHaveRun, earlierAttempts + attempts, seed);
            mayHaveRun |= outcome instanceof AttemptOutcome.MayHaveRun;
            ran |= !(outcome instanceof AttemptOutcome.NotRun);
            switch (decision) {
                case RetryDecision.Answer answer -> {
                    return new CallResult(attempts, ran, outcome);
                }
                case RetryDecision.GiveUp giveUp -> {
                    return new CallResult(attempts, ran, giveUp.outcome());
                }
                case RetryDecision.Retry retry -> assertThat(retry.delayMillis()).isAtMost(20);
            }
        }
        throw new AssertionError("call had more than " + outcomes.size() + " attempts");
    }

    private static RetryDecision decide(
            AttemptOutcome outcome,
            boolean idempotent,
            boolean mayHaveRunBefore,
            int attempts,
            long seed) {
        CallProgress progress =
                new CallProgress(
                        idempotent, mayHaveRunBefore, attempts, 1_000, MAX_ATTEMPTS, 0, false);
        return RetryPolicy.decide(
                outcome, progress, RetryBudget.withDefaultReserve(), new Random(seed));
    }
}
