package org.cuminreach.node.caller;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminreach.decisions.routing.CallRateLimit;
import org.cuminreach.decisions.routing.RouteMetadata;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.document.Route;
import org.cuminreach.document.Tenant;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.poison.RequestFingerprint;
import org.cuminreach.runtime.http.HttpCall;

/**
 * State of one call from its first attempt to its final answer. Thread-safe, since a hedged attempt
 * may run beside the first.
 */
final class CallAttempts {
    private final HttpCall callerCall;
    private final HttpCall call;
    private final RequestFingerprint fingerprint;
    private final Route route;
    private final String service;
    private final String requestId;
    private final CallOrigin origin;
    private final boolean idempotent;
    private final long startMillis;
    private final long deadlineMillis;
    private final long configurationVersion;
    private final Set<String> triedNodes = ConcurrentHashMap.newKeySet();
    private int attempts;
    private int refusals;
    private long retryAfterMillis;
    private boolean mayHaveRun;
    private boolean hedged;

    CallAttempts(
            HttpCall callerCall,
            Route route,
            String service,
            String requestId,
            CallOrigin origin,
            boolean idempotent,
            long startMillis,
            long deadlineMillis,
            long configurationVersion,
            int previousAttempts) {
        this.callerCall = callerCall;
        this.call = callerCall.abandonableCopy();
        this.fingerprint = RequestFingerprint.of(call);
        this.route = route;
        this.service = service;
        this.requestId = requestId;
        this.origin = origin;
        this.idempotent = idempotent;
        this.startMillis = startMillis;
        this.deadlineMillis = deadlineMillis;
        this.configurationVersion = configurationVersion;
        this.attempts = previousAttempts;
    }

    HttpCall call() {
        return call;
    }

    /** Tells whether nobody waits for the answer any more, rather than for this attempt only. */
    boolean hasCallerLeft() {
        return callerCall.abandoned().isDone();
    }

    RequestFingerprint fingerprint() {
        return fingerprint;
    }

    /** Ends the attempt in progress, but not a hedged one beside it. */
    void abandon() {
        call.abandoned().complete(null);
    }

    Route route() {
        return route;
    }

    /** Name of the service that the route's split selected; all attempts go to this service. */
    String service() {
        return service;
    }

    String requestId() {
        return requestId;
    }

    String caller() {
        return origin.caller().text();
    }

    /** Tenant of the call; empty when it needs none. */
    Optional<Tenant> tenant() {
        return origin.tenant();
    }

    /** Regions that the tenant's calls must not leave; empty when they may go anywhere. */
    List<String> homeRegions() {
        return origin.homeRegions();
    }

    /** Time at which the call has arrived, on the monotonic clock. */
    long startMillis() {
        return startMillis;
    }

    /** Time at which the call is given up, on the monotonic clock. */
    long deadlineMillis() {
        return deadlineMillis;
    }

    boolean idempotent() {
        return idempotent;
    }

    long configurationVersion() {
        return configurationVersion;
    }

    Set<String> triedNodes() {
        return triedNodes;
    }

    synchronized int attempts() {
        return attempts;
    }

    synchronized int refusals() {
        return refusals;
    }

    /**
     * Records that the latest attempt was refused before it reached a target, so it does not count
     * as an attempt. Keeps the shortest retry delay of the nodes that refused the call.
     */
    synchronized void recordRefusal(long nodeRetryAfterMillis) {
        attempts--;
        refusals++;
        if (nodeRetryAfterMillis > 0) {
            retryAfterMillis =
                    retryAfterMillis == 0
                            ? nodeRetryAfterMillis
                            : Math.min(retryAfterMillis, nodeRetryAfterMillis);
        }
    }

    /** Returns the shortest retry delay of the nodes that refused the call. */
    synchronized long retryAfterMillis(long defaultMillis) {
        return retryAfterMillis == 0 ? defaultMillis : retryAfterMillis;
    }

    synchronized boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Tells whether a hedged attempt may run beside the one that is about to be sent. */
    synchronized boolean mayHedge() {
        return idempotent && !hedged && attempts < route.maxAttempts();
    }

    synchronized boolean isHedged() {
        return hedged;
    }

    /** Creates the hedged attempt, at most once; uses up the attempts of the first one. */
    synchronized Optional<CallAttempts> createHedge() {
        if (!mayHedge()) {
            return Optional.empty();
        }
        hedged = true;
        CallAttempts second =
                new CallAttempts(
                        callerCall,
                        route,
                        service,
                        requestId,
                        origin,
                        true,
                        startMillis,
                        deadlineMillis,
                        configurationVersion,
                        attempts);
        second.triedNodes.addAll(triedNodes);
        second.hedged = true;
        second.mayHaveRun = mayHaveRun;
        attempts = Math.max(attempts, route.maxAttempts());
        return Optional.of(second);
    }

    /** Returns the time left until the latency objective, in milliseconds. */
    double remainingObjectiveMillis(long nowMillis) {
        return routeMetadata(nowMillis).objectiveMillis();
    }

    private RouteMetadata routeMetadata(long nowMillis) {
        return RouteMetadata.of(route, origin.priority(), nowMillis - startMillis);
    }

    /** Returns the headers of the call for the node of a target, with the limit known for it. */
    synchronized HttpHeaders headers(TargetView target, long remainingMillis, long nowMillis) {
        HttpHeaders headers =
                MeshHeaders.endToEnd(call.headers())
                        .remove(MeshHeaders.KEY_HOME)
                        .remove(MeshHeaders.TARGET_LIMIT)
                        .remove(MeshHeaders.TARGET_COLD)
                        .remove(MeshHeaders.REFUSALS)
                        .set(MeshHeaders.REQUEST_ID, requestId)
                        .set(MeshHeaders.CALLER, caller())
                        .set(MeshHeaders.REMAINING_MILLIS, remainingMillis)
                        .set(MeshHeaders.ROUTE, routeMetadata(nowMillis).text())
                        .set(MeshHeaders.ATTEMPTS, attempts)
                        .set(MeshHeaders.TARGET_NODE, target.node())
                        .set(MeshHeaders.TARGET_START, target.instance());
        headers.remove(MeshHeaders.TENANT).remove(MeshHeaders.KEY_VALID_MILLIS);
        tenant().ifPresent(known -> headers.set(MeshHeaders.TENANT, known.name()));
        if (refusals > 0) {
            headers.set(MeshHeaders.REFUSALS, refusals);
        }
        if (target.statistics().rateLimit() instanceof CallRateLimit.PerSecond limit) {
            headers.set(MeshHeaders.TARGET_LIMIT, limit.text());
        }
        target.statistics()
                .coldNotice(nowMillis)
                .ifPresent(cold -> headers.set(MeshHeaders.TARGET_COLD, cold.text()));
        return headers;
    }

    long remainingMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }

    synchronized void recordAttempt(String node) {
        attempts++;
        triedNodes.add(node);
    }

    synchronized void recordMayHaveRun() {
        mayHaveRun = true;
    }
}
