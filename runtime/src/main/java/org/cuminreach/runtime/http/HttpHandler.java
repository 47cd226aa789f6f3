package org.cuminreach.runtime.http;

import java.util.concurrent.CompletableFuture;

/** Answers HTTP requests; called on the event loop of the connection, which it must not block. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Answers a request.
     *
     * @param call the request
     * @return completes with the answer; if it fails, the request is answered with status 500
     */
    CompletableFuture<HttpAnswer> handle(HttpCall call);
}
