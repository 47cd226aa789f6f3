package org.cuminreach.node.http;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.settings.Address;

/** Sends HTTP calls to other nodes and to the target; never sends one twice by itself. */
public final class HttpSender implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final AsyncHttpClient client;

    private HttpSender(AsyncHttpClient client) {
        this.client = client;
    }

    /**
     * Returns a sender.
     *
     * @param eventLoops threads that serve the connections
     * @return the sender
     */
    public static HttpSender create(EventLoopGroup eventLoops) {
        return new HttpSender(
                Dsl.asyncHttpClient(
                        Dsl.config()
                                .setEventLoopGroup(eventLoops)
                                .setMaxRequestRetry(0)
                                .setKeepAlive(true)
                                .setFollowRedirect(false)
                                .setDisableUrlEncodingForBoundRequests(true)
                                .setConnectTimeout(CONNECT_TIMEOUT)
                                .setPooledConnectionIdleTimeout(IDLE_TIMEOUT)
                                .setReadTimeout(Duration.ofMillis(-1))
                                .setCompressionEnforced(false)));
    }

    /**
     * Sends a call.
     *
     * @param to where to
     * @param call method, path and body of the call
     * @param headers headers to send
     * @param timeoutMillis time after which nothing more is waited for, in milliseconds
     * @return completes with the whole answer or with what is known in its place
     */
    public CompletableFuture<SendOutcome> send(
            Address to, HttpCall call, HttpHeaders headers, long timeoutMillis) {
        RequestBuilder request =
                new RequestBuilder(call.method(), true)
                        .setUrl("http://" + to + call.target())
                        .setHeaders(headers)
                        .setRequestTimeout(Duration.ofMillis(Math.max(1, timeoutMillis)));
        if (call.body().length > 0) {
            request.setBody(call.body());
        }
        return client.executeRequest(request.build())
                .toCompletableFuture()
                .handle((response, failure) -> toOutcome(call, response, failure));
    }

    @Override
    public void close() throws IOException {
        client.close();
    }

    private static SendOutcome toOutcome(HttpCall call, Response response, Throwable failure) {
        if (failure != null) {
            Throwable cause =
                    failure instanceof CompletionException && failure.getCause() != null
                            ? failure.getCause()
                            : failure;
            return toOutcome(cause);
        }
        byte[] body = response.getResponseBodyAsBytes();
        if (isCut(call, response, body)) {
            return new SendOutcome.Lost("answer_cut");
        }
        return new SendOutcome.Whole(
                new HttpAnswer(response.getStatusCode(), response.getHeaders(), body));
    }

    private static SendOutcome toOutcome(Throwable cause) {
        return switch (cause) {
            case ConnectException unreached -> new SendOutcome.NeverSent("cannot_connect");
            case TimeoutException late -> new SendOutcome.Lost("timeout");
            default -> new SendOutcome.Lost("connection_lost");
        };
    }

    private static boolean isCut(HttpCall call, Response response, byte[] body) {
        String length = response.getHeader(HttpHeaderNames.CONTENT_LENGTH);
        if (length == null || call.method().equals("HEAD") || response.getStatusCode() == 304) {
            return false;
        }
        return !length.equals(Integer.toString(body.length));
    }
}
