package org.cuminreach.node.http;

import org.cuminreach.runtime.http.HttpAnswer;

/** Result of sending a call over one connection. */
public sealed interface SendOutcome {
    /**
     * A complete answer arrived.
     *
     * @param answer the answer
     */
    record Completed(HttpAnswer answer) implements SendOutcome {}

    /**
     * No byte of the call was sent.
     *
     * @param reason reason code
     */
    record NotSent(String reason) implements SendOutcome {}

    /**
     * The headers of the call were sent, but the peer did not ask for its body, so that nobody runs
     * it.
     *
     * @param reason reason code
     */
    record BodyNotSent(String reason) implements SendOutcome {}

    /**
     * The target received the call and reported that it did not run it.
     *
     * @param reason reason given by the target or by its node
     * @param retryAfterMillis time after which to retry, in milliseconds
     */
    record Refused(String reason, long retryAfterMillis) implements SendOutcome {}

    /**
     * The call was sent, or may have been, and no complete answer arrived.
     *
     * @param reason reason code
     */
    record Lost(String reason) implements SendOutcome {}
}
