package org.cuminreach.node.target;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Predicate;

/**
 * How the answer to a call is told from those to other calls on its connection. A faulty target may
 * send an answer late or twice.
 *
 * @param requestId identity of the call
 * @param matches tells by the headers of an answer whether it can belong to this call
 * @param isIdentified tells by the headers of an answer whether it names the call that it belongs
 *     to
 */
public record ExpectedAnswer(
        String requestId, Predicate<HttpHeaders> matches, Predicate<HttpHeaders> isIdentified) {
    /**
     * Returns the answer that a protocol lets expect.
     *
     * @param protocol header conventions of the target
     * @param requestId identity of the call
     * @return the expected answer
     */
    public static ExpectedAnswer of(TargetProtocol protocol, String requestId) {
        return new ExpectedAnswer(
                requestId,
                headers -> protocol.isAnswerTo(headers, requestId),
                protocol::isIdentified);
    }
}
