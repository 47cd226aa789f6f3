package org.cuminreach.runtime.http;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.LastHttpContent;

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
                present = true;
                context.fireChannelRead(message);
            }
        };
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
