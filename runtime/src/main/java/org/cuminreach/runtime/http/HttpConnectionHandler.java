package org.cuminreach.runtime.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves one connection: one request at a time, answers in the order of the requests. */
final class HttpConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final Logger LOGGER = LoggerFactory.getLogger(HttpConnectionHandler.class);

    /** A request that waits for its turn. */
    private record Pending(HttpCall call, boolean keepAlive) {}

    private final HttpServer server;
    private final Deque<Pending> pending = new ArrayDeque<>();
    private boolean answering;
    private HttpCall answered;

    HttpConnectionHandler(HttpServer server) {
        this.server = server;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        server.connected(context.channel());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            String reason = String.valueOf(request.decoderResult().cause().getMessage());
            HttpAnswer refusal = HttpAnswer.of(400, "text/plain", "malformed: " + reason + "\n");
            write(context, refusal, false, true);
            return;
        }
        InetSocketAddress remote = (InetSocketAddress) context.channel().remoteAddress();
        HttpCall call =
                new HttpCall(
                        request.method().name(),
                        request.uri(),
                        request.headers(),
                        ByteBufUtil.getBytes(request.content()),
                        remote.getAddress().getHostAddress());
        pending.add(new Pending(call, HttpUtil.isKeepAlive(request)));
        context.channel().config().setAutoRead(false);
        answerNext(context);
    }

    private void answerNext(ChannelHandlerContext context) {
        if (answering) {
            return;
        }
        Pending next = pending.poll();
        if (next == null) {
            context.channel().config().setAutoRead(true);
            return;
        }
        answering = true;
        answered = next.call();
        server.begun();
        handle(next.call())
                .whenComplete(
                        (answer, failure) ->
                                context.executor()
                                        .execute(() -> finish(context, next, answer, failure)));
    }

    private CompletableFuture<HttpAnswer> handle(HttpCall call) {
        try {
            return server.handler().handle(call);
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private void finish(
            ChannelHandlerContext context, Pending done, HttpAnswer answer, Throwable failure) {
        answering = false;
        answered = null;
        HttpAnswer sent = answer;
        if (failure != null) {
            LOGGER.error("event=handler_failed target={}", done.call().target(), failure);
            sent = HttpAnswer.of(500, "text/plain", "internal error\n");
        }
        boolean keepAlive = done.keepAlive() && !server.isClosing();
        boolean head = done.call().method().equals(HttpMethod.HEAD.name());
        write(context, sent, head, !keepAlive).addListener(written -> server.ended());
        answerNext(context);
    }

    private static ChannelFuture write(
            ChannelHandlerContext context, HttpAnswer answer, boolean head, boolean close) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(answer.status()),
                        Unpooled.wrappedBuffer(head ? new byte[0] : answer.body()));
        response.headers().set(answer.headers());
        if (!head || !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        }
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            return context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
        return context.writeAndFlush(response);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pending.clear();
        if (answered != null) {
            answered.abandoned().complete(null);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("event=connection_failed reason=\"{}\"", cause.toString());
        context.close();
    }
}
