package org.cuminreach.node.caller;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.idempotency.IdempotencyKey;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.decisions.retry.CallProgress;
import org.cuminreach.decisions.retry.RetryDecision;
import org.cuminreach.decisions.retry.RetryPolicy;
import org.cuminreach.decisions.retry.ServiceRetryBudgets;
import org.cuminreach.decisions.routing.CallRequirements;
import org.cuminreach.decisions.routing.LoadReport;
import org.cuminreach.decisions.routing.TargetChoice;
import org.cuminreach.decisions.routing.TargetChooser;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.decisions.routing.VersionChooser;
import org.cuminreach.decisions.routing.WorkPace;
import org.cuminreach.document.Route;
import org.cuminreach.document.Service;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.HttpSender;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.node.peer.MeshView;
import org.cuminreach.node.peer.TargetFeedback;
import org.cuminreach.node.poison.PoisonFilter;
import org.cuminreach.node.tenant.TenantAuthenticator;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Routes calls of callers to targets, and reports whether a failed call may have run. */
public final class CallerHandler implements HttpHandler {
    private static final Logger LOGGER = LoggerFactory.getLogger(CallerHandler.class);
    private static final int RETRY_MILLIS = 1_000;

    private final TargetPermissions permissions;
    private final String ownHost;
    private final TenantAuthenticator authenticator;
    private final CallEntrance entrance;
    private final QuotaGate quotas;
    private final MeshView view;
    private final HttpSender sender;
    private final EvidenceRecorder evidence;
    private final CallDeduplicator deduplicator;
    private final ScheduledExecutorService timer;
    private final RouteStatistics routeStatistics = new RouteStatistics();
    private final ServiceRetryBudgets budgets;
    private final SplitSelector splits = new SplitSelector();
    private final PoisonFilter poisonFilter;
    private final AttemptChecks checks;
    private final RouteTableCache routes;
    private final HedgeScheduler hedges;

    private CallerHandler(
            TargetPermissions permissions,
            String ownHost,
            ConfigurationHolder holder,
            MeshView view,
            HttpSender sender,
            EvidenceRecorder evidence,
            CallDeduplicator deduplicator,
            CallChecks checks,
            ScheduledExecutorService timer) {
        this.permissions = permissions;
        this.ownHost = ownHost;
        this.authenticator = checks.tenants().authenticator();
        this.entrance = new CallEntrance(ownHost, authenticator);
        this.quotas = new QuotaGate(checks.tenants().quotas());
        this.routes = new RouteTableCache(holder);
        this.view = view;
        this.sender = sender;
        this.evidence = evidence;
        this.deduplicator = deduplicator;
        this.poisonFilter = checks.poisonFilter();
        this.checks = new AttemptChecks(checks, routeStatistics);
        this.timer = timer;
        this.budgets = ServiceRetryBudgets.create(view::readyCount);
        this.hedges = new HedgeScheduler(routeStatistics, budgets, timer);
    }

    /**
     * Creates the handler for a node's callers.
     *
     * @param permissions the targets that calls may be sent to
     * @param ownHost IP address of its VM
     * @param holder holds the current configuration
     * @param view targets known to the node
     * @param sender sends calls to other nodes
     * @param evidence records call results for rollouts
     * @param deduplicator runs calls with an idempotency key once
     * @param checks what calls are checked for before they are sent
     * @param timer schedules retries and hedged attempts
     * @return the handler
     */
    public static CallerHandler create(
            TargetPermissions permissions,
            String ownHost,
            ConfigurationHolder holder,
            MeshView view,
            HttpSender sender,
            EvidenceRecorder evidence,
            CallDeduplicator deduplicator,
            CallChecks checks,
            ScheduledExecutorService timer) {
        return new CallerHandler(
                permissions, ownHost, holder, view, sender, evidence, deduplicator, checks, timer);
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        RouteTableCache.Entry current = routes.current();
        String requestId =
                call.header(
                        MeshHeaders.REQUEST_ID,
                        Long.toHexString(ThreadLocalRandom.current().nextLong()));
        return switch (entrance.check(call, requestId, current)) {
            case CallEntrance.Outcome.Refused refused ->
                    CompletableFuture.completedFuture(refused.answer());
            case CallEntrance.Outcome.Accepted accepted ->
                    route(call, requestId, accepted.route(), accepted.origin(), current);
        };
    }

    private CompletableFuture<HttpAnswer> route(
            HttpCall call,
            String requestId,
            Route route,
            CallOrigin origin,
            RouteTableCache.Entry current) {
        boolean idempotent = CallRules.isIdempotent(route, call);
        if (!idempotent && call.headers().contains(MeshHeaders.IDEMPOTENCY_KEY)) {
            return handleKeyed(call, route, requestId, origin, current, false);
        }
        String service = splits.select(route);
        return start(call, route, service, requestId, origin, current.configuration());
    }

    /**
     * Handles a call that another node forwarded to this home node of its idempotency key.
     *
     * @param call the call
     * @return completes with the answer
     */
    public CompletableFuture<HttpAnswer> handleAsKeyHome(HttpCall call) {
        RouteTableCache.Entry current = routes.current();
        Optional<Route> route = current.table().match(call.header("Host", ""), call.path());
        Optional<CallOrigin> origin =
                route.flatMap(known -> CallEntrance.originFromNode(call, known, current));
        if (origin.isEmpty()) {
            String reason = route.isEmpty() ? "no_route" : "unknown_tenant";
            return CompletableFuture.completedFuture(CallAnswers.mayHaveRun(reason));
        }
        String requestId = call.header(MeshHeaders.REQUEST_ID, "");
        return handleKeyed(call, route.get(), requestId, origin.get(), current, true);
    }

    private CompletableFuture<HttpAnswer> handleKeyed(
            HttpCall call,
            Route route,
            String requestId,
            CallOrigin origin,
            RouteTableCache.Entry current,
            boolean fromNode) {
        Optional<IdempotencyKey> key =
                IdempotencyKey.parse(call.header(MeshHeaders.IDEMPOTENCY_KEY, ""));
        if (key.isEmpty()) {
            return CompletableFuture.completedFuture(
                    CallAnswers.notRun(400, "malformed_idempotency_key", Optional.empty()));
        }
        long remaining = CallRules.timeoutMillis(route, call);
        HttpHeaders headers =
                MeshHeaders.endToEnd(call.headers())
                        .set(MeshHeaders.REQUEST_ID, requestId)
                        .set(MeshHeaders.CALLER, origin.caller().text())
                        .set(MeshHeaders.REMAINING_MILLIS, remaining);
        String service = SplitSelector.select(route, key.get());
        KeyedCall keyedCall =
                permissions.keyedCall(
                        call, route, origin.homeRegions(), service, key.get(), headers, remaining);
        Supplier<CompletableFuture<HttpAnswer>> run =
                () ->
                        start(
                                call.neverAbandoned(),
                                route,
                                service,
                                requestId,
                                origin,
                                current.configuration());
        return fromNode
                ? deduplicator.handleFromNode(keyedCall, run)
                : deduplicator.handleFromCaller(keyedCall, run);
    }

    private CompletableFuture<HttpAnswer> start(
            HttpCall call,
            Route route,
            String service,
            String requestId,
            CallOrigin origin,
            MeshConfiguration configuration) {
        budgets.forService(service).deposit();
        long nowMillis = ProcessClock.monotonicMillis();
        CallAttempts attempts =
                new CallAttempts(
                        call,
                        route,
                        service,
                        requestId,
                        origin,
                        CallRules.isIdempotent(route, call),
                        nowMillis,
                        nowMillis + CallRules.timeoutMillis(route, call),
                        configuration.version(),
                        RetryPolicy.earlierAttempts(
                                CallAnswers.intHeader(call, MeshHeaders.ATTEMPTS, 0)));
        return FinalAnswers.logIfHedged(
                attempts, quotas.pass(attempts, () -> attempt(attempts, configuration)));
    }

    private CompletableFuture<HttpAnswer> attempt(
            CallAttempts attempts, MeshConfiguration configuration) {
        long nowMillis = ProcessClock.monotonicMillis();
        Optional<CompletableFuture<HttpAnswer>> refused = checks.refuse(attempts, nowMillis);
        if (refused.isPresent()) {
            return refused.get();
        }
        Service service = configuration.document().service(attempts.service()).orElseThrow();
        PermittedTargets permitted = permissions.forCall(attempts.route(), attempts.homeRegions());
        String version =
                VersionChooser.choose(
                        configuration,
                        service,
                        RolloutObserver.availability(service.name(), attempts, permitted, evidence),
                        ThreadLocalRandom.current());
        TargetChoice choice =
                TargetChooser.choose(
                        permitted.targets(service.name(), version),
                        attempts.triedNodes(),
                        requirements(attempts, nowMillis),
                        permissions.dataCentre(),
                        view.loadBalancingPolicy(),
                        nowMillis,
                        ThreadLocalRandom.current());
        return switch (choice) {
            case TargetChoice.NoTarget none ->
                    FinalAnswers.refuse(
                            attempts,
                            permitted.reason(none, service.name(), version),
                            attempts.retryAfterMillis(RETRY_MILLIS));
            case TargetChoice.Chosen chosen ->
                    send(attempts, configuration, version, chosen.target(), chosen.reason());
        };
    }

    private CallRequirements requirements(CallAttempts attempts, long nowMillis) {
        CallRequirements requirements = routeStatistics.requirements(attempts, nowMillis);
        return sender.isLong(attempts.call()) ? requirements.preferringHost(ownHost) : requirements;
    }

    private CompletableFuture<HttpAnswer> send(
            CallAttempts attempts,
            MeshConfiguration configuration,
            String version,
            TargetView target,
            String reason) {
        long startMillis = ProcessClock.monotonicMillis();
        long startNanos = System.nanoTime();
        attempts.recordAttempt(target.node());
        LOGGER.info(
                "event=call_routed request={} configuration={} route={} version={} node={}"
                        + " attempt={} reason={} pace={}",
                attempts.requestId(),
                attempts.configurationVersion(),
                attempts.route().name(),
                version,
                target.node(),
                attempts.attempts(),
                reason,
                WorkPace.logText(target.statistics().workPace(startMillis)));
        long remaining = attempts.remainingMillis(startMillis);
        if (remaining <= 0) {
            return answerOrRetry(
                    attempts, configuration, version, new SendOutcome.NotSent("deadline_passed"));
        }
        target.statistics().recordSent(startMillis);
        HttpHeaders headers =
                authenticator.addValidity(attempts.headers(target, remaining, startMillis));
        CompletableFuture<HttpAnswer> answer =
                sender.send(target.inbound(), attempts.call(), headers, remaining)
                        .thenCompose(
                                sent -> {
                                    long micros = (System.nanoTime() - startNanos) / 1_000;
                                    record(attempts, configuration, version, target, sent, micros);
                                    return answerOrRetry(attempts, configuration, version, sent);
                                });
        return hedges.hedgeWhenOverdue(
                attempts,
                target.statistics(),
                new HedgedCall.Attempt(answer, attempts::abandon),
                startMillis,
                second -> attempt(second, configuration));
    }

    private void record(
            CallAttempts attempts,
            MeshConfiguration configuration,
            String version,
            TargetView target,
            SendOutcome sent,
            long micros) {
        long nowMillis = ProcessClock.monotonicMillis();
        AttemptOutcome outcome = CallAnswers.outcome(sent);
        TransferLog.record(attempts, target.node(), sent, micros);
        Optional<LoadReport> report = TargetFeedback.removeLoadReport(sent);
        double slowness = routeStatistics.record(attempts, sent, report, micros);
        TargetFeedback.record(target, sent, report, slowness, nowMillis);
        permissions.recordRefusal(attempts, version, target, sent);
        if (!poisonFilter.record(
                attempts.fingerprint(), attempts.requestId(), target.node(), outcome, nowMillis)) {
            RolloutObserver.record(
                    attempts, configuration, version, target, outcome, micros, view, evidence);
        }
    }

    private CompletableFuture<HttpAnswer> answerOrRetry(
            CallAttempts attempts,
            MeshConfiguration configuration,
            String version,
            SendOutcome sent) {
        AttemptOutcome outcome = CallAnswers.outcome(sent);
        if (outcome instanceof AttemptOutcome.NotRun notRun && !notRun.reachedTarget()) {
            attempts.recordRefusal(notRun.retryAfterMillis());
        }
        CallProgress progress =
                new CallProgress(
                        attempts.idempotent(),
                        attempts.mayHaveRun(),
                        attempts.attempts(),
                        attempts.remainingMillis(ProcessClock.monotonicMillis()),
                        attempts.route().maxAttempts(),
                        attempts.refusals(),
                        attempts.call().abandoned().isDone());
        if (outcome instanceof AttemptOutcome.MayHaveRun) {
            attempts.recordMayHaveRun();
        }
        RetryDecision decision =
                RetryPolicy.decide(
                        outcome,
                        progress,
                        budgets.forService(attempts.service()),
                        ThreadLocalRandom.current());
        return switch (decision) {
            case RetryDecision.Answer answer ->
                    CompletableFuture.completedFuture(
                            CallAnswers.answered(
                                    ((SendOutcome.Completed) sent).answer(),
                                    attempts.requestId(),
                                    configuration.version(),
                                    version));
            case RetryDecision.GiveUp giveUp ->
                    CompletableFuture.completedFuture(
                            FinalAnswers.giveUp(attempts, giveUp.outcome()));
            case RetryDecision.Retry retry -> {
                LOGGER.info(
                        "event=call_retried request={} attempt={} reason={} delay_ms={}",
                        attempts.requestId(),
                        attempts.attempts(),
                        retry.reason(),
                        retry.delayMillis());
                yield delay(retry.delayMillis())
                        .thenCompose(waited -> attempt(attempts, configuration));
            }
        };
    }

    private CompletableFuture<Void> delay(long millis) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        timer.schedule(() -> done.complete(null), millis, TimeUnit.MILLISECONDS);
        return done;
    }
}
