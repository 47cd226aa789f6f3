package org.cuminreach.node.caller;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import org.cuminreach.decisions.retry.HedgePolicy;
import org.cuminreach.decisions.retry.RetryBudgets;
import org.cuminreach.decisions.routing.CallNeed;
import org.cuminreach.decisions.routing.TargetExperience;
import org.cuminreach.runtime.http.HttpAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts second attempts of overdue calls, as far as the retry budget of their service allows. */
final class HedgeScheduler {
    private static final Logger LOGGER = LoggerFactory.getLogger(HedgeScheduler.class);

    private final RouteStatistics routeStatistics;
    private final RetryBudgets budgets;
    private final ScheduledExecutorService timer;

    HedgeScheduler(RouteStatistics times, RetryBudgets budgets, ScheduledExecutorService timer) {
        this.routeStatistics = times;
        this.budgets = budgets;
        this.timer = timer;
    }

    /**
     * Watches an attempt that has just been sent.
     *
     * @param attempts the call
     * @param target what is known of its target
     * @param first the attempt
     * @param nowMillis present time
     * @param again makes a second attempt
     * @return completes with the answer of the call
     */
    CompletableFuture<HttpAnswer> hedgeWhenOverdue(
            CallAttempts attempts,
            TargetExperience target,
            HedgedCall.Attempt first,
            long nowMillis,
            Function<CallAttempts, CompletableFuture<HttpAnswer>> again) {
        if (!attempts.mayHedge()) {
            return first.answer();
        }
        CallNeed need = routeStatistics.requirements(attempts, nowMillis);
        double wait = target.expectedWaitMillis(need.priority(), need.runMillis(), nowMillis);
        OptionalLong delay =
                HedgePolicy.delayMillis(
                        need.runMillis(), wait, attempts.remainingMillis(nowMillis));
        return delay.isEmpty()
                ? first.answer()
                : HedgedCall.start(
                        first, delay.getAsLong(), timer, () -> startHedge(attempts, again));
    }

    private Optional<HedgedCall.Attempt> startHedge(
            CallAttempts attempts, Function<CallAttempts, CompletableFuture<HttpAnswer>> again) {
        if (!attempts.mayHedge() || !budgets.of(attempts.service()).spend()) {
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
                                    again.apply(second),
                                    () -> second.call().abandoned().complete(null));
                        });
    }
}
