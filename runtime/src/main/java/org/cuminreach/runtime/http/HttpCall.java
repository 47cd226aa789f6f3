package org.cuminreach.runtime.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.CompletableFuture;

/**
 * A whole HTTP request.
 *
 * @param method its method
 * @param uri its path and query
 * @param headers its headers
 * @param body its whole body; not to be changed
 * @param remoteHost IP number it came from
 * @param abandoned completes when the connection it came by closes before its answer
 */
public record HttpCall(
        String method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        String remoteHost,
        CompletableFuture<Void> abandoned) {
    /**
     * Returns a request that is never abandoned.
     *
     * @param method its method
     * @param target its path and query
     * @param headers its headers
     * @param body its whole body; not to be changed
     * @param remoteHost IP number it came from
     */
    public HttpCall(
            String method, String target, HttpHeaders headers, byte[] body, String remoteHost) {
        this(method, target, headers, body, remoteHost, new CompletableFuture<>());
    }

    /**
     * Returns this request for work that goes on when its connection closes.
     *
     * @return the same request, never abandoned
     */
    public HttpCall neverAbandoned() {
        return new HttpCall(method, uri, headers, body, remoteHost);
    }

    /**
     * Returns this request for an attempt that may be ended by itself.
     *
     * @return the same request, abandoned when this one is or when its own future is completed
     */
    public HttpCall abandonableCopy() {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        abandoned.thenRun(() -> ended.complete(null));
        return new HttpCall(method, uri, headers, body, remoteHost, ended);
    }

    /**
     * Returns the path.
     *
     * @return the target up to its question mark
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Returns a header.
     *
     * @param name name of the header
     * @param absent value when it is absent
     * @return its first value
     */
    public String header(String name, String absent) {
        String value = headers.get(name);
        return value == null ? absent : value;
    }
}
