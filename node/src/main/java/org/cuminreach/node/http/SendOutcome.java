package org.cuminreach.node.http;

import org.cuminreach.runtime.http.HttpAnswer;

/** What came of sending a call over one connection. */
public sealed interface SendOutcome {
    /**
     * A whole answer arrived.
     *
     * @param answer the answer
     */
    record Completed(HttpAnswer answer) implements SendOutcome {}

    /**
     * No byte of the call was sent.
     *
     * @param reason why
     */
    record NotSent(String reason) implements SendOutcome {}

    /**
     * The target received the call and said that it did not run it.
     *
     * @param reason why, in its words or ours
     * @param retryAfterMillis when it may be worth another try, in milliseconds
     */
    record Refused(String reason, long retryAfterMillis) implements SendOutcome {}

    /**
     * The call was sent, or may have been, and no whole answer arrived.
     *
     * @param reason why
     */
    record Lost(String reason) implements SendOutcome {}
}
