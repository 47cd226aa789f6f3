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

/** Sets up each connection: frames of bounded size, and closing after silence. */
final class FramePipeline extends ChannelInitializer<SocketChannel> {
    private static final Logger LOGGER = LoggerFactory.getLogger(FramePipeline.class);
    private static final int LENGTH_BYTES = 4;
    private static final int LOW_WATER_DIVISOR = 4;
    private static final int SMALL_PENDING_BYTES = 256 * 1024;

    private final Supplier<FrameListener> listeners;
    private final TrafficCounter traffic;
    private final long silenceMillis;
    private final int pendingBytes;

    FramePipeline(
            Supplier<FrameListener> listeners,
            TrafficCounter traffic,
            long silenceMillis,
            int pendingBytes) {
        this.listeners = listeners;
        this.traffic = traffic;
        this.silenceMillis = silenceMillis;
        this.pendingBytes = pendingBytes;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.config().setTcpNoDelay(true);
        channel.config()
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(pendingBytes / LOW_WATER_DIVISOR, pendingBytes));
        if (pendingBytes <= SMALL_PENDING_BYTES) {
            channel.config().setSendBufferSize(pendingBytes);
        }
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(silenceMillis, TimeUnit.MILLISECONDS))
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                StructCodec.LARGEST_STRUCT_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new Receiver(listeners.get(), new FrameConnection(channel, traffic)));
    }

    private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
        private final FrameListener listener;
        private final FrameConnection connection;

        Receiver(FrameListener listener, FrameConnection connection) {
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
            traffic.received(bytes.readableBytes());
            Frame frame = FrameCodec.decode(ByteBufUtil.getBytes(bytes));
            if (frame.getSetField() == null) {
                LOGGER.debug("event=unknown_frame_ignored remote={}", connection.remote());
                return;
            }
            listener.received(connection, frame);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            String reason =
                    cause instanceof ReadTimeoutException ? "silence" : String.valueOf(cause);
            LOGGER.info(
                    "event=connection_closed remote={} reason=\"{}\"", connection.remote(), reason);
            context.close();
        }
    }
}
