package org.cuminreach.wire.frame;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import org.cuminreach.wire.generated.Frame;

/** A connection between two processes that exchange frames. This class is thread-safe. */
public final class FrameConnection {
    private final Channel channel;
    private final TrafficCounter traffic;

    FrameConnection(Channel channel, TrafficCounter traffic) {
        this.channel = channel;
        this.traffic = traffic;
    }

    /**
     * Sends a frame. The frame is dropped when the connection is closed or its write buffer is
     * full.
     *
     * @param frame the frame
     * @return false when the frame was dropped
     */
    public boolean send(Frame frame) {
        return sendEncoded(FrameCodec.encode(frame));
    }

    /**
     * Sends an encoded frame, so that many connections can share its bytes. The frame is dropped
     * when the connection is closed or its write buffer is full.
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
     * Sends a last frame and closes the connection once the frame is written.
     *
     * @param frame the frame
     */
    public void sendAndClose(Frame frame) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(FrameCodec.encode(frame)))
                .addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Tells whether the connection is open.
     *
     * @return false once it is closed, by either end
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }

    /**
     * Returns the address of the remote end.
     *
     * @return the address as text, for log lines
     */
    public String remoteAddress() {
        return String.valueOf(channel.remoteAddress());
    }
}
