package org.cuminreach.node.target;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.CompletableFuture;
import org.cuminreach.decisions.admission.AdmissionRequest;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;

/**
 * A call to the target next to the node that has not been answered yet.
 *
 * @param call the call
 * @param requestId its request ID
 * @param admissionRequest its properties that decide its admission
 * @param arrivalNanos time at which it arrived, by {@link System#nanoTime()}
 * @param answer completes with its answer
 */
record PendingCall(
        HttpCall call,
        String requestId,
        AdmissionRequest admissionRequest,
        long arrivalNanos,
        CompletableFuture<HttpAnswer> answer) {
    String caller() {
        return admissionRequest.caller().text();
    }

    /** Headers of the call without those that are for this node only. */
    HttpHeaders headersForTarget() {
        return MeshHeaders.endToEnd(call.headers())
                .remove(MeshHeaders.TARGET_NODE)
                .remove(MeshHeaders.TARGET_START)
                .remove(MeshHeaders.TARGET_LIMIT);
    }

    /** Start of the target that the call is for, or empty when its sender named none. */
    String targetStart() {
        return call.header(MeshHeaders.TARGET_START, "");
    }
}
