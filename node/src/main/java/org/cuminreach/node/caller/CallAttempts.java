package org.cuminreach.node.caller;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminreach.decisions.routing.RouteMetadata;
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
    private final long begunMillis;
    private final long deadlineMillis;
    private final long configurationVersion;
    private final Set<String> tried = ConcurrentHashMap.newKeySet();
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
        this.begunMillis = begunMillis;
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

    Set<String> tried() {
        return tried;
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
    synchronized void noteRefusal(long roomAfterMillis) {
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
    synchronized Optional<CallAttempts> hedge() {
        if (!mayHedge()) {
            return Optional.empty();
        }
        hedged = true;
        CallAttempts second =
                new CallAttempts(
                        call.abandonableCopy(),
                        route,
                        service,
                        requestId,
                        caller,
                        true,
                        begunMillis,
                        deadlineMillis,
                        configurationVersion,
                        attempts);
        second.tried.addAll(tried);
        second.hedged = true;
        second.mayHaveRun = mayHaveRun;
        attempts = Math.max(attempts, route.maxAttempts());
        return Optional.of(second);
    }

    /** Time left for an answer that is on time, in milliseconds. */
    double objectiveLeftMillis(long nowMillis) {
        return terms(nowMillis).objectiveMillis();
    }

    private RouteMetadata terms(long nowMillis) {
        return RouteMetadata.of(route, nowMillis - begunMillis);
    }

    /** Headers with which the call goes to the node of a target. */
    synchronized HttpHeaders headers(long remainingMillis, long nowMillis) {
        return MeshHeaders.endToEnd(call.headers())
                .remove(MeshHeaders.KEY_HOME)
                .set(MeshHeaders.REQUEST_ID, requestId)
                .set(MeshHeaders.CALLER, caller)
                .set(MeshHeaders.REMAINING_MILLIS, remainingMillis)
                .set(MeshHeaders.ROUTE, terms(nowMillis).text())
                .set(MeshHeaders.ATTEMPTS, attempts);
    }

    long remainingMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }

    synchronized void begin(String node) {
        attempts++;
        tried.add(node);
    }

    synchronized void noteMayHaveRun() {
        mayHaveRun = true;
    }
}
