package org.cuminreach.runtime.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cuminreach.decisions.admission.TransferPace;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves a connection: pipelined calls run concurrently and are answered in order of arrival. */
final class HttpConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final Logger LOGGER = LoggerFactory.getLogger(HttpConnectionHandler.class);

    /** Maximum of concurrent calls of a connection; later ones wait for answers to earlier ones. */
    private static final int MAX_CONCURRENT_CALLS = 16;

    /**
     * Size of waiting requests above which reading pauses, in bytes. A close is noticed only by
     * reading.
     */
    private static final int MAX_WAITING_BYTES = 64 * 1024;

    /** Size of the headers of a waiting request, about, in bytes. */
    private static final int TYPICAL_HEADER_BYTES = 256;

    /** Time that a client has to read the last answer and to close, in milliseconds. */
    private static final long LINGER_MILLIS = 500;

    /** A call whose answer must be written after those of all earlier calls on the connection. */
    private static final class PendingCall {
        private final HttpCall call;
        private final boolean keepAlive;
        private HttpAnswer answer;

        private PendingCall(HttpCall call, boolean keepAlive) {
            this.call = call;
            this.keepAlive = keepAlive;
        }
    }

    private final HttpServer server;
    private final PartialRequest partialRequest;
    private final Deque<PendingCall> pendingCalls = new ArrayDeque<>();
    private final Deque<FullHttpRequest> waitingRequests = new ArrayDeque<>();
    private int waitingBytes;
    private boolean startScheduled;
    private boolean startingWaiting;
    private boolean closing;

    HttpConnectionHandler(HttpServer server, PartialRequest partialRequest) {
        this.server = server;
        this.partialRequest = partialRequest;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        server.addConnection(context.channel());
        if (server.refusesRequests()) {
            context.executor().execute(() -> closeIfIdle(context));
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (closing) {
            return;
        }
        waitingRequests.add(request.retain());
        waitingBytes += size(request);
        updateReading(context);
        if (!startScheduled) {
            startScheduled = true;
            context.executor().execute(() -> startAfterReading(context));
        }
    }

    /** Starts requests once all input has been read, so that none is whose client has left. */
    private void startAfterReading(ChannelHandlerContext context) {
        startScheduled = false;
        if (context.channel().isActive()) {
            startWaitingRequests(context);
        }
    }

    private static int size(FullHttpRequest request) {
        return TYPICAL_HEADER_BYTES + request.uri().length() + request.content().readableBytes();
    }

    private void updateReading(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(waitingBytes < MAX_WAITING_BYTES);
    }

    private void startWaitingRequests(ChannelHandlerContext context) {
        if (startingWaiting) {
            return;
        }
        startingWaiting = true;
        while (pendingCalls.size() < MAX_CONCURRENT_CALLS && !waitingRequests.isEmpty()) {
            FullHttpRequest request = waitingRequests.remove();
            waitingBytes -= size(request);
            try {
                start(context, request);
            } finally {
                request.release();
            }
        }
        startingWaiting = false;
        updateReading(context);
    }

    private void dropWaitingRequests() {
        waitingRequests.forEach(FullHttpRequest::release);
        waitingRequests.clear();
        waitingBytes = 0;
    }

    private void start(ChannelHandlerContext context, FullHttpRequest request) {
        boolean closesAfterPendingCalls = server.closesConnections() && !pendingCalls.isEmpty();
        if (closing || closesAfterPendingCalls) {
            LOGGER.info("event=requests_dropped reason=connection_closes requests=1");
            return;
        }
        if (request.decoderResult().cause() instanceof BodyRefusedException refused) {
            answerAndClose(context, request, refused.answer());
            return;
        }
        if (request.decoderResult().cause() instanceof BodyMemoryExhaustedException exhausted) {
            LOGGER.info("event=request_refused reason=\"{}\"", exhausted.getMessage());
            answerWithoutRunning(context, request, exhausted.getMessage());
            return;
        }
        if (request.decoderResult().isFailure()) {
            refuseMalformed(context, request);
            return;
        }
        InetSocketAddress remote = (InetSocketAddress) context.channel().remoteAddress();
        Optional<HttpAnswer> refusal = server.refusal();
        if (refusal.isPresent()) {
            answerAndClose(context, request, refusal.get());
            return;
        }
        HttpCall call =
                new HttpCall(
                        request.method().name(),
                        request.uri(),
                        request.headers(),
                        ByteBufUtil.getBytes(request.content()),
                        remote.getAddress().getHostAddress());
        PendingCall next = new PendingCall(call, HttpUtil.isKeepAlive(request));
        pendingCalls.add(next);
        server.requestStarted();
        handle(call)
                .whenComplete(
                        (answer, failure) ->
                                runInEventLoop(
                                        context, () -> complete(context, next, answer, failure)));
    }

    /** Refuses a malformed call and closes the connection after the answers to earlier calls. */
    private void refuseMalformed(ChannelHandlerContext context, FullHttpRequest request) {
        String reason = String.valueOf(request.decoderResult().cause().getMessage());
        LOGGER.info("event=malformed_call reason=\"{}\"", reason);
        answerAndClose(
                context, request, HttpAnswer.of(400, "text/plain", "malformed: " + reason + "\n"));
    }

    /** Refuses a call that cannot be served now; the call is not run. */
    private void answerWithoutRunning(
            ChannelHandlerContext context, FullHttpRequest request, String reason) {
        answerAndClose(
                context,
                request,
                HttpAnswer.of(503, "text/plain", reason + "\n").setHeader("Retry-After", 1));
    }

    private void answerAndClose(
            ChannelHandlerContext context, FullHttpRequest request, HttpAnswer answer) {
        HttpCall placeholder =
                new HttpCall(request.method().name(), "/", request.headers(), new byte[0], "");
        PendingCall last = new PendingCall(placeholder, false);
        last.answer = answer;
        pendingCalls.add(last);
        server.requestStarted();
        writeAvailableAnswers(context);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event == HttpServer.CloseEvent.IF_IDLE) {
            closeIfIdle(context);
        } else if (event == HttpServer.CloseEvent.NOW) {
            closeNow(context);
        } else {
            super.userEventTriggered(context, event);
        }
    }

    private void closeIfIdle(ChannelHandlerContext context) {
        if (!isIdle()) {
            return;
        }
        readArrivedInput(context);
        if (isIdle()) {
            closing = true;
            context.close();
        }
    }

    private boolean isIdle() {
        return !closing
                && pendingCalls.isEmpty()
                && waitingRequests.isEmpty()
                && !partialRequest.isPresent();
    }

    private void closeNow(ChannelHandlerContext context) {
        if (!closing) {
            readArrivedInput(context);
        }
        boolean cut = !pendingCalls.isEmpty() || !waitingRequests.isEmpty();
        if (!closing && (cut || partialRequest.isPresent())) {
            LOGGER.info(
                    "event=connection_cut remote={} running={} waiting={} partial={}",
                    context.channel().remoteAddress(),
                    pendingCalls.size(),
                    waitingRequests.size(),
                    partialRequest.isPresent());
        }
        context.close();
    }

    /** Reads what the operating system has received, which the event loop may not have seen yet. */
    private static void readArrivedInput(ChannelHandlerContext context) {
        if (context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe input) {
            input.read();
        }
    }

    private static void runInEventLoop(ChannelHandlerContext context, Runnable task) {
        if (context.executor().inEventLoop()) {
            task.run();
        } else {
            context.executor().execute(task);
        }
    }

    private CompletableFuture<HttpAnswer> handle(HttpCall call) {
        try {
            return server.handler().handle(call);
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private void complete(
            ChannelHandlerContext context, PendingCall done, HttpAnswer answer, Throwable failure) {
        if (failure != null) {
            LOGGER.error("event=handler_failed uri={}", done.call.uri(), failure);
            done.answer = HttpAnswer.of(500, "text/plain", "internal error\n");
        } else {
            done.answer = answer;
        }
        writeAvailableAnswers(context);
    }

    /** Writes the answers that are available, in the order of their calls. */
    private void writeAvailableAnswers(ChannelHandlerContext context) {
        boolean wrote = false;
        while (!closing && !pendingCalls.isEmpty() && pendingCalls.peek().answer != null) {
            PendingCall done = pendingCalls.poll();
            closing = !done.keepAlive || server.closesConnections() && pendingCalls.isEmpty();
            boolean head = done.call.method().equals(HttpMethod.HEAD.name());
            write(context, done.answer, head, closing)
                    .addListener(written -> server.requestFinished());
            wrote = true;
        }
        if (closing) {
            logDroppedRequests(context);
            abandonPendingCalls();
        }
        if (wrote) {
            context.flush();
            startWaitingRequests(context);
        }
    }

    private void logDroppedRequests(ChannelHandlerContext context) {
        int dropped = pendingCalls.size() + waitingRequests.size();
        boolean closedByClient = !context.channel().isActive();
        if (dropped > 0 && !closedByClient) {
            LOGGER.info("event=requests_dropped reason=connection_closes requests={}", dropped);
        }
    }

    private void abandonPendingCalls() {
        dropWaitingRequests();
        // Each call is removed before its future completes, which may re-enter this method.
        for (PendingCall next = pendingCalls.poll(); next != null; next = pendingCalls.poll()) {
            server.requestFinished();
            next.call.abandoned().complete(null);
        }
    }

    private ChannelFuture write(
            ChannelHandlerContext context, HttpAnswer answer, boolean head, boolean close) {
        HttpHeaders headers = answer.headers().copy();
        byte[] body = head ? new byte[0] : answer.body();
        HttpResponseStatus status = HttpResponseStatus.valueOf(answer.status());
        Optional<TransferPace> pace = server.link().paceFor(body.length);
        HttpResponse response =
                pace.isPresent()
                        ? new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers)
                        : new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                status,
                                Unpooled.wrappedBuffer(body),
                                headers,
                                EmptyHttpHeaders.INSTANCE);
        if (!head || !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        }
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ChannelFuture written = context.write(response);
        if (pace.isPresent()) {
            written = context.write(new PacedAnswer(context, body, pace.get()));
        }
        return close ? written.addListener(done -> lingerAndClose(context)) : written;
    }

    /**
     * Shuts down the output and closes the connection later, after reading what the client still
     * sends: closing with unread input could truncate the answer.
     */
    private static void lingerAndClose(ChannelHandlerContext context) {
        ((SocketChannel) context.channel()).shutdownOutput();
        context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        abandonPendingCalls();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("event=connection_failed reason=\"{}\"", cause.toString());
        context.close();
    }
}
