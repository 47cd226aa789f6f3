package org.cuminreach.node.target;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.http.HttpCall;

/** One call to a target and what comes of it. The first end counts. */
final class TargetExchange {
    private final HttpCall call;
    private final HttpHeaders headers;
    private final Predicate<HttpHeaders> answerMatcher;
    private final long timeoutMillis;
    private final CompletableFuture<SendOutcome> outcome = new CompletableFuture<>();
    private volatile boolean written;
    private volatile Runnable connectionCloser = () -> {};

    TargetExchange(
            HttpCall call,
            HttpHeaders headers,
            Predicate<HttpHeaders> belongs,
            long timeoutMillis) {
        this.call = call;
        this.headers = headers;
        this.answerMatcher = belongs;
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

    boolean isAnsweredBy(HttpHeaders answerHeaders) {
        return answerMatcher.test(answerHeaders);
    }

    /** Notes that the call is about to be written; from here on the target may run it. */
    void recordWriting(Runnable closeConnection) {
        written = true;
        connectionCloser = closeConnection;
    }

    void complete(SendOutcome known) {
        outcome.complete(known);
    }

    /** Ends the call without an answer: the connection is closed, so that the target stops. */
    void cancel(String reason) {
        SendOutcome known =
                written ? new SendOutcome.Lost(reason) : new SendOutcome.NeverSent(reason);
        if (outcome.complete(known)) {
            connectionCloser.run();
        }
    }
}
