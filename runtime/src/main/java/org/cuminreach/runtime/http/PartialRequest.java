package org.cuminreach.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;

/** Tells whether a connection has received a part of a request whose end it has not received. */
final class PartialRequest {
    private boolean present;

    boolean isPresent() {
        return present;
    }

    /** Returns the handler of received bytes, which is in front of the decoder. */
    ChannelHandler beforeDecoder() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                present = present || startsRequest((ByteBuf) message);
                context.fireChannelRead(message);
            }
        };
    }

    /** Line ends between requests belong to none. */
    private static boolean startsRequest(ByteBuf bytes) {
        return bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
    }

    /** Returns the handler of decoded parts, which is behind the decoder. */
    ChannelHandler afterDecoder() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (message instanceof LastHttpContent) {
                    present = false;
                }
                context.fireChannelRead(message);
            }
        };
    }
}
