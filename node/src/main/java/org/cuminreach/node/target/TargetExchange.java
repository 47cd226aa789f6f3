package org.cuminreach.node.target;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.CompletableFuture;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.http.HttpCall;

/** A call to a target and its outcome, which is set once. */
final class TargetExchange {
    static final String ABANDONED = "abandoned";
    static final String TIMED_OUT = "timeout";

    private final HttpCall call;
    private final HttpHeaders headers;
    private final ExpectedAnswer expected;
    private final long timeoutMillis;
    private final CompletableFuture<SendOutcome> outcome = new CompletableFuture<>();
    private volatile boolean written;
    private volatile Runnable connectionCloser = () -> {};

    TargetExchange(
            HttpCall call, HttpHeaders headers, ExpectedAnswer expected, long timeoutMillis) {
        this.call = call;
        this.headers = headers;
        this.expected = expected;
        this.timeoutMillis = timeoutMillis;
    }

    HttpCall call() {
        return call;
    }

    HttpHeaders headers() {
        return headers;
    }

    long timeoutMillis() {
        return timeoutMillis;
    }

    CompletableFuture<SendOutcome> outcome() {
        return outcome;
    }

    boolean isOpen() {
        return !outcome.isDone();
    }

    ExpectedAnswer expected() {
        return expected;
    }

    /** Records that the call is about to be written; from now on the target may run it. */
    void recordWriting(Runnable closer) {
        written = true;
        connectionCloser = closer;
    }

    void complete(SendOutcome result) {
        outcome.complete(result);
    }

    /** Cancels the call and closes its connection, so that the target can stop running it. */
    void cancel(String reason) {
        SendOutcome result =
                written ? new SendOutcome.Lost(reason) : new SendOutcome.NotSent(reason);
        if (outcome.complete(result)) {
            connectionCloser.run();
        }
    }
}
