package org.cuminreach.node.target;

import io.netty.handler.codec.http.HttpHeaders;
import org.cuminreach.decisions.routing.CallRateLimit;
import org.cuminreach.decisions.routing.StatedLoad;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.http.HttpAnswer;

/** Header conventions between a node and its target. */
public interface TargetProtocol {
    /**
     * Turns the headers of a call into those that the target expects.
     *
     * @param endToEnd headers of the call; may be changed
     * @param metadata metadata of the call
     * @return the headers to send
     */
    HttpHeaders requestHeaders(HttpHeaders endToEnd, TargetCallMetadata metadata);

    /**
     * Tells whether an answer belongs to a call. A faulty target may send duplicate or late
     * answers.
     *
     * @param headers headers of the answer
     * @param requestId identity of the call
     * @return whether it does
     */
    boolean isAnswerTo(HttpHeaders headers, String requestId);

    /**
     * Tells whether an answer names the call that it belongs to.
     *
     * @param headers headers of the answer
     * @return whether it does; true when the protocol does not identify calls
     */
    boolean isIdentified(HttpHeaders headers);

    /**
     * Interprets a complete answer.
     *
     * @param answer the answer of the target
     * @return the answer, or a refusal when the target says that it did not run the call
     */
    SendOutcome readAnswer(HttpAnswer answer);

    /**
     * Tells whether an answer is from the start of the target that the call was addressed to, not
     * from another target that now has its address.
     *
     * @param answer the answer
     * @return whether it is
     */
    boolean isFromAddressedTarget(HttpAnswer answer);

    /**
     * Reads what a target says about itself in an answer.
     *
     * @param headers headers of the answer
     * @return its notice
     */
    TargetNotice readNotice(HttpHeaders headers);

    /**
     * Returns the protocol of targets that use the mesh's own headers.
     *
     * @return the protocol
     */
    static TargetProtocol passThrough() {
        return new TargetProtocol() {
            @Override
            public HttpHeaders requestHeaders(HttpHeaders endToEnd, TargetCallMetadata metadata) {
                return endToEnd.set(MeshHeaders.REMAINING_MILLIS, metadata.remainingMillis());
            }

            @Override
            public boolean isAnswerTo(HttpHeaders headers, String requestId) {
                return true;
            }

            @Override
            public boolean isIdentified(HttpHeaders headers) {
                return true;
            }

            @Override
            public SendOutcome readAnswer(HttpAnswer answer) {
                return new SendOutcome.Completed(answer);
            }

            @Override
            public boolean isFromAddressedTarget(HttpAnswer answer) {
                return true;
            }

            @Override
            public TargetNotice readNotice(HttpHeaders headers) {
                return new TargetNotice(
                        CallRateLimit.parse(headers.get(MeshHeaders.TARGET_LIMIT, "")),
                        Boolean.parseBoolean(headers.get(MeshHeaders.TARGET_LEAVING, "")),
                        StatedLoad.parse(headers.get(MeshHeaders.TARGET_LOAD, "")),
                        TargetNotice.coldMillis(headers.get(MeshHeaders.TARGET_COLD, "")));
            }
        };
    }
}
