package org.cuminreach.node.target;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cuminreach.decisions.admission.AdmissionRequest;
import org.cuminreach.decisions.admission.Caller;
import org.cuminreach.decisions.routing.RouteMetadata;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.settings.TargetDescription;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A call to the target next to the node that has not been answered yet.
 *
 * @param call the call
 * @param requestId its request ID
 * @param admissionRequest its properties that decide its admission
 * @param arrivalNanos time at which it arrived, by {@link System#nanoTime()}
 * @param keyValidity how long the API key of its caller counts as proven
 * @param answer completes with its answer
 */
record PendingCall(
        HttpCall call,
        String requestId,
        AdmissionRequest admissionRequest,
        long arrivalNanos,
        KeyValidity keyValidity,
        CompletableFuture<HttpAnswer> answer) {
    private static final Logger LOGGER = LoggerFactory.getLogger(PendingCall.class);
    private static final int DEFAULT_REMAINING_MILLIS = 5_000;

    /** Converts the remaining times of a call to times of this node's clock. */
    static PendingCall of(
            HttpCall call, RouteMetadata route, double typicalRunMillis, long nowMillis) {
        long remaining =
                CallAnswers.intHeader(call, MeshHeaders.REMAINING_MILLIS, DEFAULT_REMAINING_MILLIS);
        long objective =
                route.objectiveMillis() == RouteMetadata.NO_OBJECTIVE
                        ? AdmissionRequest.NO_OBJECTIVE
                        : nowMillis + route.objectiveMillis();
        AdmissionRequest request =
                new AdmissionRequest(
                        Caller.parse(call.header(MeshHeaders.CALLER, call.remoteHost())),
                        route.route(),
                        route.priority(),
                        nowMillis,
                        objective,
                        nowMillis + remaining,
                        typicalRunMillis);
        return new PendingCall(
                call,
                call.header(MeshHeaders.REQUEST_ID, ""),
                request,
                System.nanoTime(),
                KeyValidity.of(call.headers()),
                new CompletableFuture<>());
    }

    void logQueued() {
        LOGGER.info("event=call_queued request={} caller={}", requestId, caller());
    }

    /** Adds to an answer how long this node has held the call. */
    HttpAnswer withHeldTime(HttpAnswer result, long nowNanos) {
        long heldMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - arrivalNanos);
        return result.setHeader(MeshHeaders.HELD_MILLIS, heldMillis);
    }

    /** Returns what the target is told of the call. */
    TargetCallMetadata metadata(String instance, long remainingMillis) {
        return new TargetCallMetadata(
                requestId,
                admissionRequest.caller(),
                remainingMillis,
                call.header(MeshHeaders.TARGET_START, instance),
                Optional.ofNullable(call.headers().get(MeshHeaders.TENANT)));
    }

    String caller() {
        return admissionRequest.caller().text();
    }

    /** Returns why the call is not for the current target, or empty when it is. */
    Optional<String> misdirection(String node, Optional<TargetDescription> current) {
        if (!call.header(MeshHeaders.TARGET_NODE, node).equals(node)) {
            return Optional.of(MeshHeaders.OTHER_NODE);
        }
        if (current.isEmpty()) {
            return Optional.of(MeshHeaders.NO_TARGET);
        }
        String instance = current.get().instance();
        return call.header(MeshHeaders.TARGET_START, instance).equals(instance)
                ? Optional.empty()
                : Optional.of(MeshHeaders.OTHER_TARGET);
    }

    /** Headers of the call without those that are for this node only. */
    HttpHeaders headersForTarget() {
        return MeshHeaders.forTarget(call.headers());
    }

    /** Start of the target that the call is for, or empty when its sender named none. */
    String targetStart() {
        return call.header(MeshHeaders.TARGET_START, "");
    }
}
