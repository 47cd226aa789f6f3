package org.cuminreach.node.caller;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import org.cuminreach.decisions.retry.HedgePolicy;
import org.cuminreach.decisions.retry.ServiceRetryBudgets;
import org.cuminreach.decisions.routing.CallRequirements;
import org.cuminreach.decisions.routing.TargetStatistics;
import org.cuminreach.runtime.http.HttpAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts hedged attempts of overdue calls within the retry budget of their service. */
final class HedgeScheduler {
    private static final Logger LOGGER = LoggerFactory.getLogger(HedgeScheduler.class);

    private final RouteStatistics routeStatistics;
    private final ServiceRetryBudgets budgets;
    private final ScheduledExecutorService timer;

    HedgeScheduler(
            RouteStatistics routeStatistics,
            ServiceRetryBudgets budgets,
            ScheduledExecutorService timer) {
        this.routeStatistics = routeStatistics;
        this.budgets = budgets;
        this.timer = timer;
    }

    /**
     * Schedules a hedged attempt for an attempt that has just been sent.
     *
     * @param attempts the call
     * @param target statistics of its target
     * @param first the sent attempt
     * @param nowMillis current time
     * @param sendAttempt sends the hedged attempt
     * @return completes with the answer of the call
     */
    CompletableFuture<HttpAnswer> hedgeWhenOverdue(
            CallAttempts attempts,
            TargetStatistics target,
            HedgedCall.Attempt first,
            long nowMillis,
            Function<CallAttempts, CompletableFuture<HttpAnswer>> sendAttempt) {
        if (!attempts.mayHedge()) {
            return first.answer();
        }
        CallRequirements requirements = routeStatistics.requirements(attempts, nowMillis);
        double waitMillis =
                target.expectedWaitMillis(
                        requirements.priority(), requirements.typicalRunMillis(), nowMillis);
        OptionalLong delay =
                HedgePolicy.delayMillis(
                        requirements.typicalRunMillis(),
                        waitMillis,
                        attempts.remainingMillis(nowMillis));
        return delay.isEmpty()
                ? first.answer()
                : HedgedCall.start(
                        first, delay.getAsLong(), timer, () -> startHedge(attempts, sendAttempt));
    }

    private Optional<HedgedCall.Attempt> startHedge(
            CallAttempts attempts,
            Function<CallAttempts, CompletableFuture<HttpAnswer>> sendAttempt) {
        if (!attempts.mayHedge() || !budgets.forService(attempts.service()).tryWithdraw()) {
            return Optional.empty();
        }
        return attempts.createHedge()
                .map(
                        second -> {
                            LOGGER.info(
                                    "event=call_hedged request={} route={}",
                                    attempts.requestId(),
                                    attempts.route().name());
                            return new HedgedCall.Attempt(
                                    sendAttempt.apply(second), second::abandon);
                        });
    }
}
