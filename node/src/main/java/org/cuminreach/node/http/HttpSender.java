package org.cuminreach.node.http;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import javax.net.ssl.SSLEngine;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.cuminreach.decisions.admission.LinkRate;
import org.cuminreach.decisions.retry.StaleConnectionDetector;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.BodyMemory;
import org.cuminreach.runtime.http.BodyMemoryExhaustedException;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.LinkUse;
import org.cuminreach.runtime.http.StrictHttpClientCodec;
import org.cuminreach.settings.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP client for calls to other nodes and to the target; never retries by itself. */
public final class HttpSender implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private static final SendOutcome.Lost TIMED_OUT = new SendOutcome.Lost("timeout");
    private static final SendOutcome.BodyNotSent TIMED_OUT_BEFORE_BODY =
            new SendOutcome.BodyNotSent("timeout_before_body");
    private static final Logger LOGGER = LoggerFactory.getLogger(HttpSender.class);

    private final Map<Address, StaleConnectionDetector> staleConnectionDetectors =
            new ConcurrentHashMap<>();
    private final AsyncHttpClient client;
    private final BodyMemory answerMemory;
    private final LinkUse link;
    private final String ownHost;
    private final EventLoopGroup timers;

    private HttpSender(
            AsyncHttpClient client,
            BodyMemory answerMemory,
            LinkUse link,
            String ownHost,
            EventLoopGroup timers) {
        this.client = client;
        this.answerMemory = answerMemory;
        this.link = link;
        this.ownHost = ownHost;
        this.timers = timers;
    }

    /**
     * Returns a sender that sends all bodies with their headers.
     *
     * @param eventLoops event loops that serve the connections
     * @return the sender
     */
    public static HttpSender create(EventLoopGroup eventLoops) {
        return create(eventLoops, LinkUse.of(LinkRate.unknown()), "");
    }

    /**
     * Returns a sender that sends long bodies only after {@code 100 Continue}, in pieces that leave
     * room for other calls on its link.
     *
     * @param eventLoops event loops that serve the connections
     * @param link how this process uses the link of its VM
     * @param ownHost IP address of the VM; calls to it cross no link
     * @return the sender
     */
    public static HttpSender create(EventLoopGroup eventLoops, LinkUse link, String ownHost) {
        return create(eventLoops, BodyMemory.forHeap(), link, ownHost);
    }

    static HttpSender create(
            EventLoopGroup eventLoops, BodyMemory answerMemory, LinkUse link, String ownHost) {
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
                                .setCookieStore(null)
                                .setSslEngineFactory(HttpSender::refuseTls)
                                .setHttpAdditionalChannelInitializer(
                                        StrictHttpClientCodec::replaceCodecOf)
                                .setEnableAutomaticDecompression(false)
                                .setCompressionEnforced(false)),
                answerMemory,
                link,
                ownHost,
                eventLoops);
    }

    /**
     * Returns the memory for answers that are being received, which other clients may share.
     *
     * @return the memory
     */
    public BodyMemory answerMemory() {
        return answerMemory;
    }

    /** Avoids loading certificates at startup: the client creates a TLS context by default. */
    private static SSLEngine refuseTls(AsyncHttpClientConfig config, String host, int port) {
        throw new IllegalStateException("TLS between nodes is unsupported: " + host);
    }

    /**
     * Tells whether the body of a call takes long on the link of this VM.
     *
     * @param call the call
     * @return true when it does; false when the rate of the link is not known
     */
    public boolean isLong(HttpCall call) {
        return link.rate().isLong(call.body().length);
    }

    /**
     * Sends a call. Closes the connection if the call is abandoned before its answer.
     *
     * @param to address of the peer
     * @param call method, path and body of the call
     * @param headers headers to send
     * @param timeoutMillis request timeout, in milliseconds
     * @return completes with the complete answer, or with the kind of failure
     */
    public CompletableFuture<SendOutcome> send(
            Address to, HttpCall call, HttpHeaders headers, long timeoutMillis) {
        RequestBuilder request =
                new RequestBuilder(call.method(), true)
                        .setUrl("http://" + to + call.uri())
                        .setHeaders(headers)
                        .setRequestTimeout(Duration.ofMillis(Math.max(1, timeoutMillis)));
        SendProgress progress;
        if (isLong(call) && !to.host().equals(ownHost)) {
            progress = SendProgress.ofCallWithExpectedBody(answerMemory.newShare());
            request.setHeader(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE)
                    .setBody(
                            new PacedBody(
                                    call.body(),
                                    link.pace(),
                                    timers.next(),
                                    progress::onBodyBegin));
        } else {
            progress = SendProgress.ofWholeCall(answerMemory.newShare());
            if (call.body().length > 0) {
                request.setBody(call.body());
            }
        }
        Request built;
        try {
            built = request.build();
        } catch (IllegalArgumentException malformed) {
            return CompletableFuture.completedFuture(new SendOutcome.NotSent("malformed_request"));
        }
        if (call.abandoned().isDone()) {
            return CompletableFuture.completedFuture(new SendOutcome.NotSent("abandoned"));
        }
        return execute(to, call, built, progress);
    }

    private CompletableFuture<SendOutcome> execute(
            Address to, HttpCall call, Request request, SendProgress progress) {
        long startMillis = ProcessClock.monotonicMillis();
        ListenableFuture<Response> sending = client.executeRequest(request, progress);
        call.abandoned().thenRun(() -> cancel(sending));
        return sending.toCompletableFuture()
                .handle((response, failure) -> toOutcome(call, response, failure))
                .thenApply(progress::end)
                .whenComplete((outcome, error) -> closeStaleConnections(to, outcome, startMillis));
    }

    /** Cancels a call that has no outcome yet; the client creates an exception for each one. */
    private static void cancel(ListenableFuture<Response> sending) {
        if (!sending.isDone()) {
            sending.cancel(true);
        }
    }

    /** Closes the idle connections to a peer when timeouts suggest that they are stale. */
    private void closeStaleConnections(Address to, SendOutcome outcome, long startMillis) {
        StaleConnectionDetector detector =
                staleConnectionDetectors.computeIfAbsent(
                        to, peer -> StaleConnectionDetector.create());
        if (outcome instanceof SendOutcome.Completed) {
            detector.recordAnswer(ProcessClock.monotonicMillis());
        } else if (isTimeout(outcome) && detector.recordTimeout(startMillis)) {
            LOGGER.info("event=connections_replaced peer={} reason=no_answer_in_time", to);
            client.flushChannelPoolPartitions(("http://" + to)::equals);
        }
    }

    private static boolean isTimeout(SendOutcome outcome) {
        return TIMED_OUT.equals(outcome) || TIMED_OUT_BEFORE_BODY.equals(outcome);
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
        if (isTruncated(call, response, body)) {
            return new SendOutcome.Lost("answer_cut");
        }
        return new SendOutcome.Completed(
                new HttpAnswer(response.getStatusCode(), response.getHeaders(), body));
    }

    private static SendOutcome toOutcome(Throwable cause) {
        return switch (cause) {
            case CancellationException cancelled -> new SendOutcome.Lost("abandoned");
            case ConnectException unreachable -> new SendOutcome.NotSent("cannot_connect");
            case TimeoutException timedOut -> TIMED_OUT;
            case BodyMemoryExhaustedException tooLong -> new SendOutcome.Lost("answer_too_long");
            default -> new SendOutcome.Lost("connection_lost");
        };
    }

    /** Treats an answer that is delimited only by the close of its connection as truncated. */
    private static boolean isTruncated(HttpCall call, Response response, byte[] body) {
        int status = response.getStatusCode();
        if (call.method().equals("HEAD") || status == NO_CONTENT || status == NOT_MODIFIED) {
            return false;
        }
        String length = response.getHeader(HttpHeaderNames.CONTENT_LENGTH);
        if (length == null) {
            return !"chunked"
                    .equalsIgnoreCase(response.getHeader(HttpHeaderNames.TRANSFER_ENCODING));
        }
        return !length.equals(Integer.toString(body.length));
    }
}
