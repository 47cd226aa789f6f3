package org.cuminreach.wire.frame;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import org.cuminreach.wire.generated.Frame;

/** One connection between two processes. Safe for use by several threads. */
public final class FrameConnection {
    private final Channel channel;
    private final TrafficCounter traffic;

    FrameConnection(Channel channel, TrafficCounter traffic) {
        this.channel = channel;
        this.traffic = traffic;
    }

    /**
     * Sends a frame, unless too much waits to be sent already.
     *
     * @param frame the frame
     * @return false when the frame was dropped
     */
    public boolean send(Frame frame) {
        return sendEncoded(FrameCodec.encode(frame));
    }

    /**
     * Sends a frame that has been encoded before, so that many connections can share its bytes.
     *
     * @param encoded the encoded frame
     * @return false when the frame was dropped
     */
    public boolean sendEncoded(byte[] encoded) {
        if (!channel.isActive() || !channel.isWritable()) {
            return false;
        }
        traffic.recordSent(encoded.length);
        channel.writeAndFlush(Unpooled.wrappedBuffer(encoded), channel.voidPromise());
        return true;
    }

    /**
     * Sends a last frame and closes the connection once it is written.
     *
     * @param frame the frame
     */
    public void sendAndClose(Frame frame) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(FrameCodec.encode(frame)))
                .addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }

    /**
     * Describes the other end.
     *
     * @return its address, for logs
     */
    public String remoteAddress() {
        return String.valueOf(channel.remoteAddress());
    }
}
