package org.cuminreach.wire.frame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.StructCodec;
import org.cuminreach.wire.generated.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Initialises the channel of a connection: frames of bounded size and an idle timeout. */
final class FramePipeline extends ChannelInitializer<SocketChannel> {
    private static final Logger LOGGER = LoggerFactory.getLogger(FramePipeline.class);
    private static final int LENGTH_BYTES = 4;
    private static final int LOW_WATER_MARK_DIVISOR = 4;
    private static final int SMALL_WRITE_BUFFER_BYTES = 256 * 1024;

    private final Supplier<FrameListener> listeners;
    private final TrafficCounter traffic;
    private final long idleTimeoutMillis;
    private final int maxWriteBufferBytes;

    FramePipeline(
            Supplier<FrameListener> listeners,
            TrafficCounter traffic,
            long idleTimeoutMillis,
            int maxWriteBufferBytes) {
        this.listeners = listeners;
        this.traffic = traffic;
        this.idleTimeoutMillis = idleTimeoutMillis;
        this.maxWriteBufferBytes = maxWriteBufferBytes;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.config().setTcpNoDelay(true);
        channel.config()
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(
                                maxWriteBufferBytes / LOW_WATER_MARK_DIVISOR, maxWriteBufferBytes));
        if (maxWriteBufferBytes <= SMALL_WRITE_BUFFER_BYTES) {
            channel.config().setSendBufferSize(maxWriteBufferBytes);
        }
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(idleTimeoutMillis, TimeUnit.MILLISECONDS))
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                StructCodec.MAX_STRUCT_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new FrameHandler(listeners.get(), new FrameConnection(channel, traffic)));
    }

    private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final FrameListener listener;
        private final FrameConnection connection;

        FrameHandler(FrameListener listener, FrameConnection connection) {
            this.listener = listener;
            this.connection = connection;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            listener.opened(connection);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            listener.closed(connection);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes)
                throws MalformedFrameException {
            traffic.recordReceived(bytes.readableBytes());
            Frame frame = FrameCodec.decode(ByteBufUtil.getBytes(bytes));
            if (frame.getSetField() == null) {
                LOGGER.debug("event=unknown_frame_ignored remote={}", connection.remoteAddress());
                return;
            }
            listener.received(connection, frame);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            String reason =
                    cause instanceof ReadTimeoutException ? "idle timeout" : String.valueOf(cause);
            LOGGER.info(
                    "event=connection_closed remote={} reason=\"{}\"",
                    connection.remoteAddress(),
                    reason);
            context.close();
        }
    }
}
