package org.cuminreach.runtime.http;

import java.util.concurrent.CompletableFuture;

/** Answers HTTP requests; called by the connection's own thread, which it must not block. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Answers a request.
     *
     * @param call the request
     * @return completes with the answer; a failure is answered with status 500
     */
    CompletableFuture<HttpAnswer> handle(HttpCall call);
}
