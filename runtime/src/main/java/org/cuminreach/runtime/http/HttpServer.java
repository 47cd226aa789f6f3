package org.cuminreach.runtime.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.stream.ChunkedWriteHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.cuminreach.decisions.admission.LinkRate;
import org.cuminreach.settings.Address;

/** HTTP/1.1 server that listens on one address and accepts requests of bounded size. */
public final class HttpServer {
    /** Maximum size of the body of a request, in bytes. */
    public static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final int MAX_INITIAL_LINE_BYTES = 16 * 1024;
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_BYTES = 16 * 1024;
    private static final int BACKLOG_CONNECTIONS = 1_024;

    /** Reads of one connection before others get their turn. */
    private static final int READS_PER_EVENT = 16;

    /** Memory for the bodies of requests to all servers of this process. */
    private static final BodyMemory REQUEST_MEMORY = BodyMemory.forHeap();

    /** User event that closes a connection. */
    enum CloseEvent {
        /** Closes the connection unless a request is in progress on it. */
        IF_IDLE,

        /** Closes the connection immediately. */
        NOW
    }

    private final HttpHandler handler;
    private final BodyMemory requestMemory;
    private final BodyGate gate;
    private final LinkUse link;
    private final ChannelGroup connections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final AtomicLong receivedRequests = new AtomicLong();
    private final AtomicInteger requestsInProgress = new AtomicInteger();
    private volatile Channel listening;
    private volatile boolean closing;
    private volatile boolean draining;
    private volatile Optional<Supplier<HttpAnswer>> refusal = Optional.empty();

    private HttpServer(HttpHandler handler, BodyMemory requestMemory, BodyGate gate, LinkUse link) {
        this.handler = handler;
        this.requestMemory = requestMemory;
        this.gate = gate;
        this.link = link;
    }

    /**
     * Starts a server.
     *
     * @param address the address to bind
     * @param eventLoops threads that serve the connections
     * @param handler answers the requests
     * @return completes with the server, or fails when the address cannot be bound
     */
    public static CompletableFuture<HttpServer> listen(
            Address address, EventLoopGroup eventLoops, HttpHandler handler) {
        return listen(
                address, eventLoops, handler, BodyGate.open(), LinkUse.of(LinkRate.unknown()));
    }

    /**
     * Starts a server that receives the bodies of requests when its gate lets them in, and sends
     * long answers in pieces.
     *
     * @param address the address to bind
     * @param eventLoops threads that serve the connections
     * @param handler answers the requests
     * @param gate decides when clients that expect {@code 100 Continue} may send their bodies
     * @param link how this process uses the link of its VM
     * @return completes with the server, or fails when the address cannot be bound
     */
    public static CompletableFuture<HttpServer> listen(
            Address address,
            EventLoopGroup eventLoops,
            HttpHandler handler,
            BodyGate gate,
            LinkUse link) {
        return listen(address, eventLoops, handler, REQUEST_MEMORY, gate, link);
    }

    static CompletableFuture<HttpServer> listen(
            Address address,
            EventLoopGroup eventLoops,
            HttpHandler handler,
            BodyMemory requestMemory,
            BodyGate gate,
            LinkUse link) {
        HttpServer server = new HttpServer(handler, requestMemory, gate, link);
        CompletableFuture<HttpServer> result = new CompletableFuture<>();
        new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads on until a close behind a request is seen, before the request is started.
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(READS_PER_EVENT))
                .childHandler(server.initializer())
                .bind(address.host(), address.port())
                .addListener(
                        (io.netty.channel.ChannelFuture bound) -> {
                            if (bound.isSuccess()) {
                                server.listening = bound.channel();
                                result.complete(server);
                            } else {
                                result.completeExceptionally(bound.cause());
                            }
                        });
        return result;
    }

    /** Closes each connection after its next answer; new connections are still accepted. */
    public void drainConnections() {
        draining = true;
    }

    /** Refuses all further requests and closes each connection once it has been read empty. */
    public void refuseRequests() {
        refuseRequests(
                () ->
                        HttpAnswer.of(503, "text/plain", "this process stops\n")
                                .setHeader("Retry-After", 1));
    }

    /**
     * Refuses all further requests and closes each connection once it has been read empty.
     *
     * @param answer supplies the answer to a request, which is not run
     */
    public void refuseRequests(Supplier<HttpAnswer> answer) {
        refusal = Optional.of(answer);
        fireOnConnections(CloseEvent.IF_IDLE);
    }

    /** Accepts no more connections and closes each open one after its next answer. */
    public void stopAccepting() {
        closing = true;
        if (listening.isOpen()) {
            listening.eventLoop().execute(this::acceptWaitingAndClose);
        }
    }

    /** Accepts the connections that wait, whose requests may have arrived, and stops listening. */
    private void acceptWaitingAndClose() {
        if (listening.isOpen()
                && listening.unsafe() instanceof AbstractNioChannel.NioUnsafe input
                && listening.config().getRecvByteBufAllocator()
                        instanceof MaxMessagesRecvByteBufAllocator bound) {
            bound.maxMessagesPerRead(BACKLOG_CONNECTIONS);
            input.read();
        }
        listening.close();
    }

    /** Stops listening and closes all connections. */
    public void close() {
        stopAccepting();
        fireOnConnections(CloseEvent.NOW);
        connections.close();
    }

    private void fireOnConnections(CloseEvent event) {
        connections.forEach(channel -> channel.pipeline().fireUserEventTriggered(event));
    }

    /**
     * Returns the number of requests whose answers are not yet written completely.
     *
     * @return requests in progress
     */
    public int requestsInProgress() {
        return requestsInProgress.get();
    }

    /**
     * Returns the number of requests received since the start.
     *
     * @return received requests, including those in progress
     */
    public long receivedRequests() {
        return receivedRequests.get();
    }

    /**
     * Returns the number of open connections.
     *
     * @return open connections
     */
    public int openConnections() {
        return connections.size();
    }

    LinkUse link() {
        return link;
    }

    HttpHandler handler() {
        return handler;
    }

    Optional<HttpAnswer> refusal() {
        return refusal.map(Supplier::get);
    }

    boolean refusesRequests() {
        return refusal.isPresent();
    }

    boolean closesConnections() {
        return closing || draining;
    }

    void addConnection(Channel channel) {
        connections.add(channel);
    }

    void requestStarted() {
        receivedRequests.incrementAndGet();
        requestsInProgress.incrementAndGet();
    }

    void requestFinished() {
        requestsInProgress.decrementAndGet();
    }

    private ChannelInitializer<SocketChannel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                PartialRequest partialRequest = new PartialRequest();
                channel.pipeline()
                        .addLast(partialRequest.beforeDecoder())
                        .addLast(
                                new HttpServerCodec(
                                        MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES));
                if (link.rate().isKnown()) {
                    // In front of the aggregator: its interim answers must not interrupt an answer.
                    channel.pipeline().addLast(new ChunkedWriteHandler());
                }
                channel.pipeline()
                        .addLast(partialRequest.afterDecoder())
                        .addLast(new ExpectedBodyHandler(HttpServer.this, gate))
                        .addLast(new RequestMemoryGuard(requestMemory))
                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                        .addLast(new HttpConnectionHandler(HttpServer.this, partialRequest));
            }
        };
    }
}
