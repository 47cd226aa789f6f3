package org.cuminreach.node.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.BodyMemory;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.StrictHttpClientCodec;
import org.cuminreach.settings.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP client for the target next to the node, with one call at a time per connection. Idle
 * connections are reused as long as the target certainly keeps them open.
 */
public final class TargetClient {
    private static final Logger LOGGER = LoggerFactory.getLogger(TargetClient.class);

    /**
     * The target is on the same VM, so a slower connection attempt has no listener to accept it.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Reason of a call that was not sent because no connection could be made. */
    public static final String CANNOT_CONNECT = "cannot_connect";

    /** Reasons of calls whose connection the target closed while it ran them. */
    public static final Set<String> CLOSED_BY_TARGET =
            Set.of(TargetConnection.CLOSED, TargetConnection.BROKEN);

    /** Reasons of calls whose connection this client closed while the target ran them. */
    public static final Set<String> CANCELLED =
            Set.of(TargetExchange.ABANDONED, TargetExchange.TIMED_OUT);

    /** Maximum size of the headers of an answer: twice as much as callers may send. */
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    private static final int MAX_LINE_BYTES = 4 * 1024;
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    private final EventLoopGroup eventLoops;
    private final BodyMemory answerMemory;
    private final Map<Address, Deque<TargetConnection>> idleConnections = new HashMap<>();

    private TargetClient(EventLoopGroup eventLoops, BodyMemory answerMemory) {
        this.eventLoops = eventLoops;
        this.answerMemory = answerMemory;
    }

    /**
     * Returns a client without connections.
     *
     * @param eventLoops threads that serve the connections
     * @return the client
     */
    public static TargetClient create(EventLoopGroup eventLoops) {
        return create(eventLoops, BodyMemory.forHeap());
    }

    /**
     * Returns a client without connections that shares the memory for answers with others.
     *
     * @param eventLoops threads that serve the connections
     * @param answerMemory memory for answers that are being received
     * @return the client
     */
    public static TargetClient create(EventLoopGroup eventLoops, BodyMemory answerMemory) {
        return new TargetClient(eventLoops, answerMemory);
    }

    BodyMemory answerMemory() {
        return answerMemory;
    }

    /**
     * Sends a call.
     *
     * @param address address of the target
     * @param call the call
     * @param headers headers to send, instead of the call's own; the client may change them
     * @param expected tells which answer belongs to this call
     * @param timeoutMillis time after which the call is cancelled, in milliseconds
     * @return completes with the outcome; never completes exceptionally
     */
    public CompletableFuture<SendOutcome> send(
            Address address,
            HttpCall call,
            HttpHeaders headers,
            ExpectedAnswer expected,
            long timeoutMillis) {
        if (call.abandoned().isDone()) {
            return CompletableFuture.completedFuture(
                    new SendOutcome.NotSent(TargetExchange.ABANDONED));
        }
        TargetExchange exchange = new TargetExchange(call, headers, expected, timeoutMillis);
        Optional<TargetConnection> reused =
                takeIdle(address, expected.requestId(), ProcessClock.monotonicMillis());
        if (reused.isPresent()) {
            reused.get().start(exchange);
        } else {
            connect(address, exchange);
        }
        call.abandoned().thenRun(() -> exchange.cancel(TargetExchange.ABANDONED));
        return exchange.outcome();
    }

    /**
     * Tells whether a target refuses connections, since its process has ended.
     *
     * @param address address of the target
     * @return completes with false when it accepts connections or does not respond
     */
    public CompletableFuture<Boolean> refusesConnections(Address address) {
        CompletableFuture<Boolean> refuses = new CompletableFuture<>();
        bootstrap(new ChannelInboundHandlerAdapter())
                .connect(address.host(), address.port())
                .addListener(
                        (ChannelFuture done) -> {
                            done.channel().close();
                            refuses.complete(
                                    done.cause() instanceof ConnectException
                                            && !(done.cause() instanceof ConnectTimeoutException));
                        });
        return refuses;
    }

    /** Closes the idle connections. */
    public synchronized void closeIdle() {
        idleConnections
                .values()
                .forEach(connections -> connections.forEach(TargetConnection::close));
        idleConnections.clear();
    }

    synchronized void addIdle(Address address, TargetConnection connection) {
        idleConnections.computeIfAbsent(address, key -> new ArrayDeque<>()).addFirst(connection);
    }

    synchronized void removeIdle(Address address, TargetConnection connection) {
        Deque<TargetConnection> connections = idleConnections.get(address);
        if (connections != null && connections.remove(connection) && connections.isEmpty()) {
            idleConnections.remove(address);
        }
    }

    /** Takes an idle connection on which no answer to an earlier attempt of the call is due. */
    private synchronized Optional<TargetConnection> takeIdle(
            Address address, String requestId, long nowMillis) {
        Iterator<TargetConnection> connections =
                idleConnections.getOrDefault(address, new ArrayDeque<>()).iterator();
        while (connections.hasNext()) {
            TargetConnection connection = connections.next();
            if (!connection.isUsable(nowMillis)) {
                connections.remove();
                connection.close();
            } else if (!connection.hasRefused(requestId)) {
                connections.remove();
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    private void connect(Address address, TargetExchange exchange) {
        ChannelFuture connecting =
                bootstrap(initializer(address)).connect(address.host(), address.port());
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        startExchange(connecting.channel(), exchange);
                    } else {
                        LOGGER.info(
                                "event=target_unreachable address={} reason=\"{}\"",
                                address,
                                String.valueOf(done.cause().getMessage()));
                        exchange.complete(new SendOutcome.NotSent(CANNOT_CONNECT));
                    }
                });
    }

    private Bootstrap bootstrap(ChannelHandler handler) {
        return new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(handler);
    }

    private static void startExchange(Channel channel, TargetExchange exchange) {
        channel.pipeline().get(TargetConnection.class).start(exchange);
    }

    private ChannelInitializer<SocketChannel> initializer(Address address) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                StrictHttpClientCodec codec =
                        StrictHttpClientCodec.create(
                                new HttpDecoderConfig()
                                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                                        .setMaxChunkSize(MAX_CHUNK_BYTES));
                channel.pipeline()
                        .addLast(codec)
                        .addLast(new TargetConnection(TargetClient.this, address, channel, codec));
            }
        };
    }
}
