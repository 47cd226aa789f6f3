package org.cuminreach.wire.frame;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.cuminreach.settings.Address;

/** Factory of client and server connections that exchange frames. */
public final class FrameEndpoints {
    /** The VMs of a mesh reach each other within milliseconds; one without power never answers. */
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private static final int BACKLOG_CONNECTIONS = 4_096;
    private static final int DEFAULT_WRITE_BUFFER_BYTES = 4 * 1024 * 1024;

    private final EventLoopGroup eventLoops;
    private final TrafficCounter traffic;
    private final long idleTimeoutMillis;
    private final int maxWriteBufferBytes;
    private final UnaryOperator<FrameListener> wrapper;

    private FrameEndpoints(
            EventLoopGroup eventLoops,
            TrafficCounter traffic,
            long idleTimeoutMillis,
            int maxWriteBufferBytes,
            UnaryOperator<FrameListener> wrapper) {
        this.eventLoops = eventLoops;
        this.traffic = traffic;
        this.idleTimeoutMillis = idleTimeoutMillis;
        this.maxWriteBufferBytes = maxWriteBufferBytes;
        this.wrapper = wrapper;
    }

    /**
     * Returns endpoints that close idle connections.
     *
     * @param eventLoops threads that serve the connections
     * @param traffic counts the bytes
     * @param idleTimeoutMillis time without received data after which a connection is closed, in
     *     milliseconds
     * @return the endpoints
     */
    public static FrameEndpoints create(
            EventLoopGroup eventLoops, TrafficCounter traffic, long idleTimeoutMillis) {
        return new FrameEndpoints(
                eventLoops,
                traffic,
                idleTimeoutMillis,
                DEFAULT_WRITE_BUFFER_BYTES,
                UnaryOperator.identity());
    }

    /**
     * Returns a copy of these endpoints with another limit on the write buffer of a connection.
     *
     * @param bytes buffered bytes above which a connection drops further frames
     * @return the copy
     */
    public FrameEndpoints withMaxWriteBufferBytes(int bytes) {
        return new FrameEndpoints(eventLoops, traffic, idleTimeoutMillis, bytes, wrapper);
    }

    /**
     * Returns a copy of these endpoints that wraps the listeners of its connections, for example to
     * handle some kinds of frames elsewhere.
     *
     * @param wrap wraps a listener
     * @return the copy
     */
    public FrameEndpoints withListenerWrapper(UnaryOperator<FrameListener> wrap) {
        return new FrameEndpoints(
                eventLoops, traffic, idleTimeoutMillis, maxWriteBufferBytes, wrap);
    }

    /**
     * Listens for connections.
     *
     * @param address the address to bind
     * @param listeners creates the listener of each connection
     * @return completes with the listening channel, or fails when the address cannot be bound
     */
    public CompletableFuture<Channel> listen(Address address, Supplier<FrameListener> listeners) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(eventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new FramePipeline(
                                        () -> wrapper.apply(listeners.get()),
                                        traffic,
                                        idleTimeoutMillis,
                                        maxWriteBufferBytes))
                        .bind(address.host(), address.port());
        return toFuture(bound);
    }

    /**
     * Opens a connection.
     *
     * @param address the address to connect to
     * @param listener receives the events of the connection, its opening included
     * @return completes when the connection is open, or fails when it cannot be opened
     */
    public CompletableFuture<Channel> connect(Address address, FrameListener listener) {
        ChannelFuture connected =
                new Bootstrap()
                        .group(eventLoops)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(
                                new FramePipeline(
                                        () -> wrapper.apply(listener),
                                        traffic,
                                        idleTimeoutMillis,
                                        maxWriteBufferBytes))
                        .connect(address.host(), address.port());
        return toFuture(connected);
    }

    private static CompletableFuture<Channel> toFuture(ChannelFuture future) {
        CompletableFuture<Channel> result = new CompletableFuture<>();
        future.addListener(
                done -> {
                    if (done.isSuccess()) {
                        result.complete(future.channel());
                    } else {
                        result.completeExceptionally(done.cause());
                    }
                });
        return result;
    }
}
