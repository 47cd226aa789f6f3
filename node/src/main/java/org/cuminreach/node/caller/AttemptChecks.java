package org.cuminreach.node.caller;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cuminreach.decisions.admission.StopSchedule;
import org.cuminreach.node.poison.PoisonFilter;
import org.cuminreach.node.tenant.TenantAuthenticator;
import org.cuminreach.runtime.http.HttpAnswer;

/** Checks before each attempt of a call whether a target may run it now. */
final class AttemptChecks {
    /** Time after which a caller retries elsewhere, or here once this node has restarted. */
    private static final long STOPPING_RETRY_MILLIS = 1_000;

    private final PoisonFilter poisonFilter;
    private final TenantAuthenticator authenticator;
    private final Supplier<StopSchedule> stopSchedule;
    private final RouteStatistics routeStatistics;

    AttemptChecks(CallChecks checks, RouteStatistics routeStatistics) {
        this.poisonFilter = checks.poisonFilter();
        this.authenticator = checks.tenants().authenticator();
        this.stopSchedule = checks.stopSchedule();
        this.routeStatistics = routeStatistics;
    }

    /** Returns the answer of a call that may not be sent to a target now, or empty if it may. */
    Optional<CompletableFuture<HttpAnswer>> refuse(CallAttempts attempts, long nowMillis) {
        OptionalLong poisonous =
                poisonFilter.remainingRefusalMillis(attempts.fingerprint(), nowMillis);
        if (poisonous.isPresent()) {
            return refuse(attempts, PoisonFilter.REFUSAL_REASON, poisonous.getAsLong());
        }
        if (attempts.tenant().isPresent() && !authenticator.allowsKeys()) {
            return refuse(attempts, "no_lease", CallEntrance.UNPROVEN_RETRY_MILLIS);
        }
        if (!stopSchedule.get().takes(attempts.startMillis(), attempts.deadlineMillis())) {
            return refuse(attempts, "node_stops", STOPPING_RETRY_MILLIS);
        }
        if (!routeStatistics.hasTimeToRun(attempts, nowMillis)) {
            return refuse(attempts, "deadline_cannot_be_met", attempts.retryAfterMillis(1));
        }
        return Optional.empty();
    }

    private static Optional<CompletableFuture<HttpAnswer>> refuse(
            CallAttempts attempts, String reason, long retryAfterMillis) {
        return Optional.of(FinalAnswers.refuse(attempts, reason, retryAfterMillis));
    }
}
