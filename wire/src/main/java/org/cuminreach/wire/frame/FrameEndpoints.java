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
import org.cuminreach.settings.Address;

/** Opens connections for frames, at both ends. */
public final class FrameEndpoints {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int BACKLOG_CONNECTIONS = 4_096;
    private static final int DEFAULT_WRITE_BUFFER_BYTES = 4 * 1024 * 1024;

    private final EventLoopGroup eventLoops;
    private final TrafficCounter traffic;
    private final long idleTimeoutMillis;
    private final int maxWriteBufferBytes;

    private FrameEndpoints(
            EventLoopGroup eventLoops,
            TrafficCounter traffic,
            long silenceMillis,
            int pendingBytes) {
        this.eventLoops = eventLoops;
        this.traffic = traffic;
        this.idleTimeoutMillis = silenceMillis;
        this.maxWriteBufferBytes = pendingBytes;
    }

    /**
     * Returns endpoints that close a connection after silence.
     *
     * @param eventLoops threads that serve the connections
     * @param traffic counts the bytes
     * @param silenceMillis silence after which a connection counts as dead, in milliseconds
     * @return the endpoints
     */
    public static FrameEndpoints create(
            EventLoopGroup eventLoops, TrafficCounter traffic, long silenceMillis) {
        return new FrameEndpoints(eventLoops, traffic, silenceMillis, DEFAULT_WRITE_BUFFER_BYTES);
    }

    /**
     * Returns the same endpoints with another bound on what waits to be sent.
     *
     * @param bytes bytes waiting on one connection above which it takes no further frame
     * @return the endpoints
     */
    public FrameEndpoints withMaxWriteBufferBytes(int bytes) {
        return new FrameEndpoints(eventLoops, traffic, idleTimeoutMillis, bytes);
    }

    /**
     * Listens for connections.
     *
     * @param address where to listen
     * @param listeners makes a listener for each connection
     * @return completes with the listening channel, or fails when the address cannot be had
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
                                        listeners, traffic, idleTimeoutMillis, maxWriteBufferBytes))
                        .bind(address.host(), address.port());
        return toFuture(bound);
    }

    /**
     * Opens a connection.
     *
     * @param address where to
     * @param listener hears of the connection, its opening included
     * @return completes when open, or fails when the address does not answer
     */
    public CompletableFuture<Channel> connect(Address address, FrameListener listener) {
        ChannelFuture connected =
                new Bootstrap()
                        .group(eventLoops)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(
                                new FramePipeline(
                                        () -> listener,
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
