package org.cuminreach.runtime.http;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.stream.ChunkedInput;
import io.netty.handler.stream.ChunkedWriteHandler;
import java.util.concurrent.TimeUnit;
import org.cuminreach.decisions.admission.TransferPace;
import org.cuminreach.runtime.ProcessClock;

/** Body of an answer that is sent in pieces, at the pace of all long bodies of the process. */
final class PacedAnswer implements ChunkedInput<HttpContent> {
    private final ChannelHandlerContext context;
    private final byte[] bytes;
    private final TransferPace pace;
    private int sent;

    PacedAnswer(ChannelHandlerContext context, byte[] bytes, TransferPace pace) {
        this.context = context;
        this.bytes = bytes;
        this.pace = pace;
    }

    @Override
    public HttpContent readChunk(ByteBufAllocator allocator) {
        int wanted = bytes.length - sent;
        long nowMillis = ProcessClock.monotonicMillis();
        int piece;
        long waitMillis;
        synchronized (pace) {
            piece = pace.take(wanted, nowMillis);
            waitMillis = pace.waitMillis(nowMillis);
        }
        if (piece == 0) {
            context.executor().schedule(this::resume, waitMillis, TimeUnit.MILLISECONDS);
            return null;
        }
        int from = sent;
        sent += piece;
        return piece == wanted
                ? new DefaultLastHttpContent(Unpooled.wrappedBuffer(bytes, from, piece))
                : new DefaultHttpContent(Unpooled.wrappedBuffer(bytes, from, piece));
    }

    @Deprecated
    @Override
    public HttpContent readChunk(ChannelHandlerContext unused) {
        return readChunk(unused.alloc());
    }

    private void resume() {
        ChunkedWriteHandler writer = context.pipeline().get(ChunkedWriteHandler.class);
        if (writer != null) {
            writer.resumeTransfer();
        }
    }

    @Override
    public boolean isEndOfInput() {
        return sent == bytes.length;
    }

    @Override
    public long length() {
        return bytes.length;
    }

    @Override
    public long progress() {
        return sent;
    }

    @Override
    public void close() {
        // The bytes are held by the heap only.
    }
}
