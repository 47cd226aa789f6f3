package org.cuminreach.node.target;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpServer;
import org.cuminreach.settings.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One connection to a target, used by one call at a time. */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final Logger LOGGER = LoggerFactory.getLogger(TargetConnection.class);
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    /** Idle time after which a target that names none may close, in milliseconds. */
    private static final long UNNAMED_IDLE_MILLIS = 4_000;

    /** Part of a named idle time that is used, so that a call never meets the target's close. */
    private static final double USED_IDLE_SHARE = 0.6;

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Most bytes that an answer's body may have: as many as a call's. */
    private static final long LARGEST_BODY_BYTES = HttpServer.MAX_BODY_BYTES;

    private final TargetClient client;
    private final Address address;
    private final Channel channel;
    private TargetExchange exchange;
    private HttpResponse answer;
    private ByteBuf body;
    private long bodyBytes;
    private boolean skipping;
    private ScheduledFuture<?> timeout;
    private ChannelFuture writing;
    private long idleMillis = UNNAMED_IDLE_MILLIS;
    private volatile long usableUntilMillis = Long.MAX_VALUE;

    TargetConnection(TargetClient client, Address address, Channel channel) {
        this.client = client;
        this.address = address;
        this.channel = channel;
    }

    boolean isUsable(long nowMillis) {
        return channel.isActive() && nowMillis < usableUntilMillis;
    }

    void close() {
        channel.close();
    }

    void begin(TargetExchange next) {
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
            next.end(new SendOutcome.NeverSent("connection_closed_before_use"));
            return;
        }
        exchange = next;
        next.beginWriting(this::close);
        timeout =
                channel.eventLoop()
                        .schedule(
                                () -> next.cancel("timeout"),
                                next.timeoutMillis(),
                                TimeUnit.MILLISECONDS);
        writing = channel.writeAndFlush(request(next));
    }

    private static FullHttpRequest request(TargetExchange exchange) {
        byte[] bytes = exchange.call().body();
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set(exchange.headers());
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
        if (part instanceof HttpResponse response) {
            beginAnswer(response);
        }
        if (part instanceof HttpContent content) {
            takeContent(content);
        }
    }

    private void beginAnswer(HttpResponse response) {
        bodyBytes = 0;
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipping = true;
            return;
        }
        skipping = exchange == null || !exchange.isAnsweredBy(response.headers());
        if (skipping) {
            LOGGER.info(
                    "event=foreign_answer_dropped address={} status={} busy={}",
                    address,
                    response.status().code(),
                    exchange != null);
            return;
        }
        answer = response;
        body = channel.alloc().buffer();
    }

    private void takeContent(HttpContent content) {
        bodyBytes += content.content().readableBytes();
        if (bodyBytes > LARGEST_BODY_BYTES) {
            // Also where it is skipped: a target that sends without end would never be free again.
            fail("answer_too_long");
            return;
        }
        if (!skipping && body != null) {
            body.writeBytes(content.content());
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (skipping) {
            skipping = false;
        } else if (answer != null) {
            endAnswer();
        }
    }

    private void endAnswer() {
        HttpResponse whole = answer;
        byte[] bytes = ByteBufUtil.getBytes(body);
        TargetExchange ended = exchange;
        reset();
        noteIdleTime(whole);
        boolean keeps = HttpUtil.isKeepAlive(whole) && HttpUtil.isContentLengthSet(whole);
        boolean chunked = HttpUtil.isKeepAlive(whole) && HttpUtil.isTransferEncodingChunked(whole);
        if (!keeps && !chunked) {
            channel.close();
        } else if (writing.isDone()) {
            release();
        } else {
            writing.addListener(done -> release());
        }
        ended.end(
                new SendOutcome.Whole(
                        new HttpAnswer(whole.status().code(), whole.headers(), bytes)));
    }

    /** Keeps the connection for a later call. */
    private void release() {
        if (channel.isActive()) {
            usableUntilMillis = ProcessClock.monotonicMillis() + idleMillis;
            client.keep(address, this);
        }
    }

    private void noteIdleTime(HttpResponse whole) {
        String named = whole.headers().get("Keep-Alive");
        if (named == null) {
            return;
        }
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(named);
        if (matcher.find()) {
            long millis = Long.parseLong(matcher.group(1)) * MILLIS_PER_SECOND;
            idleMillis = Math.round(USED_IDLE_SHARE * millis);
        }
    }

    private void fail(String reason) {
        TargetExchange failed = exchange;
        reset();
        channel.close();
        if (failed != null && failed.isOpen()) {
            LOGGER.info("event=target_connection_failed address={} reason={}", address, reason);
            failed.end(new SendOutcome.Lost(reason));
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
        client.forget(address, this);
        fail("connection_closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.info(
                "event=target_connection_broken address={} reason=\"{}\"",
                address,
                String.valueOf(cause));
        fail("connection_lost");
    }
}
