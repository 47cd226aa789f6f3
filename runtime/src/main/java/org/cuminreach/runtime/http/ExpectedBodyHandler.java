package org.cuminreach.runtime.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cuminreach.runtime.ProcessClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds back the headers of a request that expects {@code 100 Continue} until the gate of the
 * server starts the transfer of its body. The aggregator behind it then sends the interim answer.
 */
final class ExpectedBodyHandler extends ChannelInboundHandlerAdapter {
    private static final Logger LOGGER = LoggerFactory.getLogger(ExpectedBodyHandler.class);

    private final HttpServer server;
    private final BodyGate gate;
    private Optional<BodyTransfer> transfer = Optional.empty();
    private Optional<HttpRequest> waitingHead = Optional.empty();
    private long receivedBytes;
    private boolean discarding;

    ExpectedBodyHandler(HttpServer server, BodyGate gate) {
        this.server = server;
        this.gate = gate;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (discarding) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpRequest head) {
            endTransfer();
            if (waitsForContinue(head)) {
                offer(context, head);
                return;
            }
        }
        if (message instanceof HttpContent content) {
            receivedBytes += content.content().readableBytes();
            // A client that does not wait has sent its body already.
            startTransfer(context);
        }
        if (message instanceof LastHttpContent) {
            endTransfer();
        }
        context.fireChannelRead(message);
    }

    private static boolean waitsForContinue(HttpRequest head) {
        long bytes = HttpUtil.getContentLength(head, -1L);
        return head.decoderResult().isSuccess()
                && HttpUtil.is100ContinueExpected(head)
                && bytes > 0
                && bytes <= HttpServer.MAX_BODY_BYTES;
    }

    private void offer(ChannelHandlerContext context, HttpRequest head) {
        InetSocketAddress remote = (InetSocketAddress) context.channel().remoteAddress();
        HttpCall call =
                new HttpCall(
                        head.method().name(),
                        head.uri(),
                        head.headers(),
                        new byte[0],
                        remote.getAddress().getHostAddress());
        BodyTransfer offered =
                new BodyTransfer(
                        call,
                        HttpUtil.getContentLength(head, 0L),
                        ProcessClock.monotonicMillis(),
                        () -> startInEventLoop(context, head));
        waitingHead = Optional.of(head);
        transfer = Optional.of(offered);
        Optional<HttpAnswer> refusal = server.refusal().or(() -> gate.offer(offered));
        if (refusal.isPresent()) {
            waitingHead = Optional.empty();
            transfer = Optional.empty();
            discarding = true;
            context.fireChannelRead(refused(head, refusal.get()));
        }
    }

    private static FullHttpRequest refused(HttpRequest head, HttpAnswer answer) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        head.protocolVersion(), head.method(), head.uri(), Unpooled.EMPTY_BUFFER);
        request.setDecoderResult(DecoderResult.failure(new BodyRefusedException(answer)));
        return request;
    }

    private void startInEventLoop(ChannelHandlerContext context, HttpRequest head) {
        if (context.executor().inEventLoop()) {
            startTransferOf(context, head);
        } else {
            context.executor().execute(() -> startTransferOf(context, head));
        }
    }

    private void startTransferOf(ChannelHandlerContext context, HttpRequest head) {
        if (waitingHead.equals(Optional.of(head))) {
            startTransfer(context);
        }
    }

    private void startTransfer(ChannelHandlerContext context) {
        if (waitingHead.isEmpty()) {
            return;
        }
        HttpRequest head = waitingHead.get();
        waitingHead = Optional.empty();
        context.fireChannelRead(head);
        transfer.ifPresent(started -> checkProgressLater(context, started, receivedBytes));
    }

    private void checkProgressLater(
            ChannelHandlerContext context, BodyTransfer started, long bytesBefore) {
        context.executor()
                .schedule(
                        () -> checkProgress(context, started, bytesBefore),
                        gate.stallMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void checkProgress(
            ChannelHandlerContext context, BodyTransfer started, long bytesBefore) {
        if (!transfer.equals(Optional.of(started))) {
            return;
        }
        if (receivedBytes > bytesBefore) {
            checkProgressLater(context, started, receivedBytes);
            return;
        }
        LOGGER.info(
                "event=body_stalled remote={} bytes={}",
                context.channel().remoteAddress(),
                started.bytes());
        endTransfer();
    }

    private void endTransfer() {
        Optional<BodyTransfer> ended = transfer;
        transfer = Optional.empty();
        ended.ifPresent(gate::end);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        waitingHead = Optional.empty();
        endTransfer();
        context.fireChannelInactive();
    }
}
