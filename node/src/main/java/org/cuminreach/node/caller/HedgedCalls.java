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

/** Starts second attempts of overdue calls, as far as the retry budget of their service allows. */
final class HedgedCalls {
    private static final Logger LOGGER = LoggerFactory.getLogger(HedgedCalls.class);

    private final CallTimes times;
    private final ServiceRetryBudgets budgets;
    private final ScheduledExecutorService timer;

    HedgedCalls(CallTimes times, ServiceRetryBudgets budgets, ScheduledExecutorService timer) {
        this.times = times;
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
    CompletableFuture<HttpAnswer> watch(
            CallAttempts attempts,
            TargetStatistics target,
            Hedge.Attempt first,
            long nowMillis,
            Function<CallAttempts, CompletableFuture<HttpAnswer>> again) {
        if (!attempts.mayHedge()) {
            return first.answer();
        }
        CallRequirements need = times.need(attempts, nowMillis);
        double wait =
                target.expectedWaitMillis(need.priority(), need.typicalRunMillis(), nowMillis);
        OptionalLong delay =
                HedgePolicy.delayMillis(
                        need.typicalRunMillis(), wait, attempts.remainingMillis(nowMillis));
        return delay.isEmpty()
                ? first.answer()
                : Hedge.of(first, delay.getAsLong(), timer, () -> second(attempts, again));
    }

    private Optional<Hedge.Attempt> second(
            CallAttempts attempts, Function<CallAttempts, CompletableFuture<HttpAnswer>> again) {
        if (!attempts.mayHedge() || !budgets.forService(attempts.service()).tryWithdraw()) {
            return Optional.empty();
        }
        return attempts.hedge()
                .map(
                        second -> {
                            LOGGER.info(
                                    "event=call_hedged request={} route={}",
                                    attempts.requestId(),
                                    attempts.route().name());
                            return new Hedge.Attempt(
                                    again.apply(second),
                                    () -> second.call().abandoned().complete(null));
                        });
    }
}
