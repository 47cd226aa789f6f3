package org.cuminreach.runtime.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.CompletableFuture;

/**
 * An HTTP request with its complete body.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param headers headers
 * @param body complete body; must not be modified
 * @param remoteHost IP address of the sender
 * @param abandoned completes when the connection closes before the request is answered
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
     * @param method HTTP method
     * @param uri path and query
     * @param headers headers
     * @param body complete body; must not be modified
     * @param remoteHost IP address of the sender
     */
    public HttpCall(
            String method, String uri, HttpHeaders headers, byte[] body, String remoteHost) {
        this(method, uri, headers, body, remoteHost, new CompletableFuture<>());
    }

    /**
     * Returns a copy of this request for work that continues when the connection closes.
     *
     * @return the copy, which is never abandoned
     */
    public HttpCall neverAbandoned() {
        return new HttpCall(method, uri, headers, body, remoteHost);
    }

    /**
     * Returns a copy of this request for an attempt that can be abandoned on its own.
     *
     * @return the copy, which is abandoned with this request or when its own future is completed
     */
    public HttpCall abandonableCopy() {
        CompletableFuture<Void> copyAbandoned = new CompletableFuture<>();
        abandoned.thenRun(() -> copyAbandoned.complete(null));
        return new HttpCall(method, uri, headers, body, remoteHost, copyAbandoned);
    }

    /**
     * Returns the path.
     *
     * @return the URI without its query
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Returns a header.
     *
     * @param name name of the header
     * @param defaultValue value to return when the header is absent
     * @return the first value of the header, or the default value
     */
    public String header(String name, String defaultValue) {
        String value = headers.get(name);
        return value == null ? defaultValue : value;
    }
}
