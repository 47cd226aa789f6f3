package org.cuminreach.node.target;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpServer;
import org.cuminreach.runtime.http.StrictHttpClientCodec;
import org.cuminreach.settings.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A connection to a target, used by one call at a time. */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {
    static final String CLOSED = "connection_closed";
    static final String BROKEN = "connection_lost";

    /** The answer exceeds its bound, or the memory that is left for it beside others. */
    static final String TOO_LONG = "answer_too_long";

    static final String UNEXPECTED_ANSWERS = "unexpected_answers";

    private static final Logger LOGGER = LoggerFactory.getLogger(TargetConnection.class);
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    /** Idle timeout assumed for a target that announces none in a Keep-Alive header. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 4_000;

    /**
     * Fraction of an announced idle timeout for which a connection is reused, so that no call is
     * sent while the target closes it.
     */
    private static final double IDLE_TIMEOUT_FACTOR = 0.6;

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Maximum size of the body of an answer: as much as that of a call. */
    private static final long MAX_BODY_BYTES = HttpServer.MAX_BODY_BYTES;

    /**
     * Informational and mismatched answers that are dropped before the answer to a call. A target
     * that sends more would occupy the event loop with them.
     */
    private static final int MAX_DROPPED_ANSWERS = 16;

    /** Calls refused on a connection after which it is closed, so that none is forgotten. */
    private static final int MAX_REFUSED_CALLS = 256;

    private final TargetClient client;
    private final Address address;
    private final Channel channel;
    private final StrictHttpClientCodec codec;
    private final Set<String> refusedCalls = ConcurrentHashMap.newKeySet();
    private TargetExchange exchange;
    private HttpResponse answer;
    private AnswerBody body;
    private long bodyBytes;
    private int droppedAnswers;
    private boolean discarding;
    private boolean answeredBefore;
    private ScheduledFuture<?> timeout;
    private ChannelFuture writeFuture;
    private String lastKeepAlive = "";
    private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
    private volatile long usableUntilMillis = Long.MAX_VALUE;

    TargetConnection(
            TargetClient client, Address address, Channel channel, StrictHttpClientCodec codec) {
        this.client = client;
        this.address = address;
        this.channel = channel;
        this.codec = codec;
    }

    boolean isUsable(long nowMillis) {
        return channel.isActive() && nowMillis < usableUntilMillis;
    }

    /**
     * Tells whether a call was refused or failed on this connection before. A faulty target may
     * repeat that answer, which would then be taken for the answer to the next attempt of the call.
     */
    boolean hasRefused(String requestId) {
        return refusedCalls.contains(requestId);
    }

    void close() {
        channel.close();
    }

    void start(TargetExchange next) {
        if (channel.eventLoop().inEventLoop()) {
            write(next);
        } else {
            channel.eventLoop().execute(() -> write(next));
        }
    }

    private void write(TargetExchange next) {
        if (!next.isOpen()) {
            release();
            return;
        }
        if (!channel.isActive()) {
            next.complete(new SendOutcome.NotSent("connection_closed_before_use"));
            return;
        }
        exchange = next;
        next.recordWriting(this::close);
        timeout =
                channel.eventLoop()
                        .schedule(
                                () -> next.cancel(TargetExchange.TIMED_OUT),
                                next.timeoutMillis(),
                                TimeUnit.MILLISECONDS);
        writeFuture = channel.writeAndFlush(request(next));
    }

    private static FullHttpRequest request(TargetExchange exchange) {
        byte[] bytes = exchange.call().body();
        HttpHeaders headers = exchange.headers();
        boolean hasLength = bytes.length > 0 || isSentWithBody(exchange.call().method());
        if (hasLength) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(exchange.call().method()),
                exchange.call().uri(),
                Unpooled.wrappedBuffer(bytes),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    private static boolean isSentWithBody(String method) {
        return switch (method) {
            case "POST", "PUT", "PATCH" -> true;
            default -> false;
        };
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (part.decoderResult().isFailure()) {
            fail("malformed_answer");
            return;
        }
        if (exchange == null) {
            closeAfterUnexpectedInput();
            return;
        }
        if (part instanceof HttpResponse response) {
            beginAnswer(response);
        }
        if (part instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void beginAnswer(HttpResponse response) {
        bodyBytes = 0;
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            drop();
            return;
        }
        discarding = !exchange.expected().matches().test(response.headers());
        if (discarding) {
            LOGGER.info(
                    "event=mismatched_answer_dropped address={} status={}",
                    address,
                    response.status().code());
            drop();
            return;
        }
        if (answeredBefore && !exchange.expected().isIdentified().test(response.headers())) {
            fail("answer_without_identity");
            return;
        }
        answer = response;
        body = new AnswerBody(client.answerMemory().newShare());
    }

    private void drop() {
        discarding = true;
        droppedAnswers++;
        if (droppedAnswers > MAX_DROPPED_ANSWERS) {
            fail(UNEXPECTED_ANSWERS);
        }
    }

    private void readContent(HttpContent content) {
        bodyBytes += content.content().readableBytes();
        if (bodyBytes > MAX_BODY_BYTES) {
            // Applies to discarded answers too: an endless one would occupy the connection forever.
            fail(TOO_LONG);
            return;
        }
        if (!discarding && body != null && !body.append(content.content())) {
            fail(TOO_LONG);
            return;
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (discarding) {
            discarding = false;
        } else if (answer != null) {
            endAnswer();
        }
    }

    private void endAnswer() {
        HttpResponse complete = answer;
        byte[] bytes = body.toBytes();
        TargetExchange finished = exchange;
        reset();
        updateIdleTimeout(complete);
        boolean hasLength = HttpUtil.isKeepAlive(complete) && HttpUtil.isContentLengthSet(complete);
        boolean chunked =
                HttpUtil.isKeepAlive(complete) && HttpUtil.isTransferEncodingChunked(complete);
        answeredBefore = true;
        droppedAnswers = 0;
        if (complete.status().codeClass() != HttpStatusClass.SUCCESS) {
            refusedCalls.add(finished.expected().requestId());
        }
        if (!hasLength && !chunked || refusedCalls.size() >= MAX_REFUSED_CALLS) {
            channel.close();
        } else if (!codec.isBetweenResponses()) {
            closeAfterUnexpectedInput();
        } else if (writeFuture.isDone()) {
            release();
        } else {
            writeFuture.addListener(done -> release());
        }
        finished.complete(
                new SendOutcome.Completed(
                        new HttpAnswer(complete.status().code(), complete.headers(), bytes)));
    }

    /**
     * Closes the connection after input that belongs to no call. The next answer could not be told
     * from it.
     */
    private void closeAfterUnexpectedInput() {
        if (channel.isOpen()) {
            LOGGER.info("event=unexpected_input_from_target address={}", address);
            channel.close();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (exchange == null && !codec.isBetweenResponses()) {
            closeAfterUnexpectedInput();
        }
        context.fireChannelReadComplete();
    }

    /** Makes the connection available to later calls. */
    private void release() {
        if (channel.isActive()) {
            usableUntilMillis = ProcessClock.monotonicMillis() + idleTimeoutMillis;
            client.addIdle(address, this);
        }
    }

    private void updateIdleTimeout(HttpResponse response) {
        String keepAlive = response.headers().get("Keep-Alive");
        if (keepAlive == null || keepAlive.equals(lastKeepAlive)) {
            return;
        }
        lastKeepAlive = keepAlive;
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAlive);
        if (matcher.find()) {
            long millis = Long.parseLong(matcher.group(1)) * MILLIS_PER_SECOND;
            idleTimeoutMillis = Math.round(IDLE_TIMEOUT_FACTOR * millis);
        }
    }

    private void fail(String reason) {
        TargetExchange failed = exchange;
        reset();
        channel.close();
        if (failed != null && failed.isOpen()) {
            LOGGER.info("event=target_connection_failed address={} reason={}", address, reason);
            failed.complete(new SendOutcome.Lost(reason));
        }
    }

    private void reset() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
        if (body != null) {
            body.release();
            body = null;
        }
        exchange = null;
        answer = null;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        client.removeIdle(address, this);
        fail(CLOSED);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.info(
                "event=target_connection_broken address={} reason=\"{}\"",
                address,
                String.valueOf(cause));
        fail(BROKEN);
    }
}
