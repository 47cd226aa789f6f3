package org.cuminreach.node.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cuminreach.decisions.quota.QuotaLimit;
import org.cuminreach.decisions.quota.QuotaOutcome;
import org.cuminreach.decisions.quota.QuotaToken;
import org.cuminreach.document.Tenant;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.quota.QuotaClient;
import org.cuminreach.runtime.http.HttpAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets the calls of tenants with quotas run only with a token. One token serves all attempts of a
 * call. A call that has not run gives its token back.
 */
final class QuotaGate {
    private static final Logger LOGGER = LoggerFactory.getLogger(QuotaGate.class);
    private static final int TOO_MANY_REQUESTS = 429;

    /** Part of its objective for which a call may wait for a token. */
    private static final int OBJECTIVE_PART = 8;

    private final QuotaClient quotas;

    QuotaGate(QuotaClient quotas) {
        this.quotas = quotas;
    }

    /** Runs a call, or refuses it as not run. */
    CompletableFuture<HttpAnswer> pass(
            CallAttempts attempts, Supplier<CompletableFuture<HttpAnswer>> run) {
        Optional<Tenant> tenant = attempts.tenant().filter(Tenant::isLimited);
        if (tenant.isEmpty()) {
            return run.get();
        }
        return quotas.draw(tenant.get(), maxWaitMillis(attempts))
                .thenCompose(
                        outcome ->
                                switch (outcome) {
                                    case QuotaOutcome.Passes passes ->
                                            run.get()
                                                    .whenComplete(
                                                            (answer, failure) ->
                                                                    giveBackIfNotRun(
                                                                            passes.token(),
                                                                            answer));
                                    case QuotaOutcome.OverQuota over ->
                                            refuse(
                                                    attempts,
                                                    TOO_MANY_REQUESTS,
                                                    "over_quota",
                                                    over.retryAfterMillis());
                                    case QuotaOutcome.NoGrant none ->
                                            refuse(
                                                    attempts,
                                                    503,
                                                    "no_quota_grant",
                                                    none.retryAfterMillis());
                                    case QuotaOutcome.Waits waits ->
                                            throw new IllegalStateException("not decided");
                                });
    }

    private static long maxWaitMillis(CallAttempts attempts) {
        int objective = attempts.route().latencyObjectiveMillis();
        return objective > 0
                ? Math.min(objective / OBJECTIVE_PART, QuotaLimit.GRANT_VALID_MILLIS)
                : QuotaLimit.GRANT_VALID_MILLIS;
    }

    private void giveBackIfNotRun(QuotaToken token, HttpAnswer answer) {
        if (answer != null
                && MeshHeaders.NOT_RUN.equals(answer.headers().get(MeshHeaders.OUTCOME))) {
            quotas.giveBack(token);
        }
    }

    private static CompletableFuture<HttpAnswer> refuse(
            CallAttempts attempts, int status, String reason, long retryAfterMillis) {
        LOGGER.info(
                "event=call_refused request={} configuration={} route={} tenant={} reason={}"
                        + " retry_after_ms={}",
                attempts.requestId(),
                attempts.configurationVersion(),
                attempts.route().name(),
                attempts.tenant().map(Tenant::name).orElse(""),
                reason,
                retryAfterMillis);
        return CompletableFuture.completedFuture(
                CallAnswers.notRun(status, reason, Optional.of(retryAfterMillis))
                        .setHeader(MeshHeaders.REQUEST_ID, attempts.requestId()));
    }
}
