package org.cuminreach.node.target;

import io.netty.handler.codec.http.HttpHeaders;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.http.HttpAnswer;

/** The headers by which targets are called and by which they answer. */
public interface TargetProtocol {
    /**
     * Turns the headers of a call into those that the target expects.
     *
     * @param endToEnd headers of the call; may be changed
     * @param call what the target is told besides
     * @return the headers to send
     */
    HttpHeaders requestHeaders(HttpHeaders endToEnd, TargetCallMetadata call);

    /**
     * Tells whether an answer belongs to a call. A faulty target may send an answer twice or late.
     *
     * @param headers headers of the answer
     * @param requestId identity of the call
     * @return whether it does
     */
    boolean isAnswerTo(HttpHeaders headers, String requestId);

    /**
     * Reads a whole answer.
     *
     * @param answer the answer of the target
     * @return the answer, or the target's word that it did not run the call
     */
    SendOutcome readAnswer(HttpAnswer answer);

    /**
     * Returns the protocol of targets that know this mesh's own headers.
     *
     * @return the protocol
     */
    static TargetProtocol passThrough() {
        return new TargetProtocol() {
            @Override
            public HttpHeaders requestHeaders(HttpHeaders endToEnd, TargetCallMetadata call) {
                return endToEnd.set(MeshHeaders.REMAINING_MILLIS, call.remainingMillis());
            }

            @Override
            public boolean isAnswerTo(HttpHeaders headers, String requestId) {
                return true;
            }

            @Override
            public SendOutcome readAnswer(HttpAnswer answer) {
                return new SendOutcome.Whole(answer);
            }
        };
    }
}
