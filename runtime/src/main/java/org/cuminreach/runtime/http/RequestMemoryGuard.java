package org.cuminreach.runtime.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Ends a request whose body exceeds the memory that is left for it as failed with a {@link
 * BodyMemoryExhaustedException}, and discards what else arrives on its connection.
 */
final class RequestMemoryGuard extends ChannelInboundHandlerAdapter {
    private final BodyMemory.Share share;
    private boolean discarding;

    RequestMemoryGuard(BodyMemory memory) {
        share = memory.newShare();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (discarding) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpContent content && !isAccepted(content)) {
            discarding = true;
            content.release();
            context.fireChannelRead(failedEnd());
            return;
        }
        context.fireChannelRead(message);
    }

    private boolean isAccepted(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        int bytes = content.content().readableBytes();
        boolean accepted = last && bytes == 0 || share.tryGrow(bytes);
        if (last || !accepted) {
            share.release();
        }
        return accepted;
    }

    private static LastHttpContent failedEnd() {
        LastHttpContent end = new DefaultLastHttpContent();
        end.setDecoderResult(DecoderResult.failure(new BodyMemoryExhaustedException()));
        return end;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        share.release();
        context.fireChannelInactive();
    }
}
