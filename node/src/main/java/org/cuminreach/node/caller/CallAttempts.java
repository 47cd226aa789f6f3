package org.cuminreach.node.caller;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminreach.decisions.routing.RouteTerms;
import org.cuminreach.document.Route;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.http.HttpCall;

/**
 * One call on its way, from the first attempt to its final answer. Safe for use by several threads:
 * a second attempt may run beside the first.
 */
final class CallAttempts {
    private final HttpCall call;
    private final Route route;
    private final String service;
    private final String requestId;
    private final String caller;
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
            HttpCall call,
            Route route,
            String service,
            String requestId,
            String caller,
            boolean idempotent,
            long begunMillis,
            long deadlineMillis,
            long configurationVersion,
            int attemptsBefore) {
        this.call = call;
        this.route = route;
        this.service = service;
        this.requestId = requestId;
        this.caller = caller;
        this.idempotent = idempotent;
        this.startMillis = begunMillis;
        this.deadlineMillis = deadlineMillis;
        this.configurationVersion = configurationVersion;
        this.attempts = attemptsBefore;
    }

    HttpCall call() {
        return call;
    }

    Route route() {
        return route;
    }

    /** Name of the service that was drawn for the call; every attempt goes there. */
    String service() {
        return service;
    }

    String requestId() {
        return requestId;
    }

    String caller() {
        return caller;
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
     * Notes that the latest attempt reached no target, so that it counts as no attempt, and when
     * the node that refused it expects to have room.
     */
    synchronized void recordRefusal(long roomAfterMillis) {
        attempts--;
        refusals++;
        if (roomAfterMillis > 0) {
            retryAfterMillis =
                    retryAfterMillis == 0
                            ? roomAfterMillis
                            : Math.min(retryAfterMillis, roomAfterMillis);
        }
    }

    /** Returns when the first of the nodes that refused the call expects to have room. */
    synchronized long retryAfterMillis(long unknownMillis) {
        return retryAfterMillis == 0 ? unknownMillis : retryAfterMillis;
    }

    synchronized boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Tells whether a second attempt may run beside the one that is about to be sent. */
    synchronized boolean mayHedge() {
        return idempotent && !hedged && attempts < route.maxAttempts();
    }

    /** Returns the second attempt of this call, which is the last one of both; at most once. */
    synchronized Optional<CallAttempts> createHedge() {
        if (!mayHedge()) {
            return Optional.empty();
        }
        hedged = true;
        CallAttempts second =
                new CallAttempts(
                        call.endable(),
                        route,
                        service,
                        requestId,
                        caller,
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

    /** Time left for an answer that is on time, in milliseconds. */
    double remainingObjectiveMillis(long nowMillis) {
        return routeMetadata(nowMillis).objectiveMillis();
    }

    private RouteTerms routeMetadata(long nowMillis) {
        return RouteTerms.of(route, nowMillis - startMillis);
    }

    /** Headers with which the call goes to the node of a target. */
    synchronized HttpHeaders headers(long remainingMillis, long nowMillis) {
        return MeshHeaders.endToEnd(call.headers())
                .remove(MeshHeaders.KEY_HOME)
                .set(MeshHeaders.REQUEST_ID, requestId)
                .set(MeshHeaders.CALLER, caller)
                .set(MeshHeaders.REMAINING_MILLIS, remainingMillis)
                .set(MeshHeaders.ROUTE, routeMetadata(nowMillis).text())
                .set(MeshHeaders.ATTEMPTS, attempts);
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
