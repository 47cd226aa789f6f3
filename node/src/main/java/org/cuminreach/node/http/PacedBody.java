package org.cuminreach.node.http;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.request.body.Body;
import org.asynchttpclient.request.body.generator.FeedListener;
import org.asynchttpclient.request.body.generator.FeedableBodyGenerator;
import org.cuminreach.decisions.admission.TransferPace;
import org.cuminreach.runtime.ProcessClock;

/** Body of a request that is sent in pieces, at the pace of all long bodies of the node. */
final class PacedBody implements FeedableBodyGenerator {
    private final byte[] bytes;
    private final TransferPace pace;
    private final ScheduledExecutorService timer;
    private final Runnable beginListener;
    private volatile FeedListener listener;

    /**
     * Creates a body.
     *
     * @param bytes the body
     * @param pace pace of all long bodies of the node
     * @param timer schedules the next piece
     * @param beginListener called before the first piece; the body is not sent if it throws
     */
    PacedBody(
            byte[] bytes,
            TransferPace pace,
            ScheduledExecutorService timer,
            Runnable beginListener) {
        this.bytes = bytes;
        this.pace = pace;
        this.timer = timer;
        this.beginListener = beginListener;
    }

    @Override
    public Body createBody() {
        return new Pieces();
    }

    /** All bytes are known from the start. */
    @Override
    public boolean feed(ByteBuf buffer, boolean last) {
        throw new UnsupportedOperationException("a paced body is complete");
    }

    @Override
    public void setListener(FeedListener newListener) {
        listener = newListener;
    }

    private final class Pieces implements Body {
        private int sent;
        private boolean begun;
        private volatile boolean closed;

        @Override
        public long getContentLength() {
            return bytes.length;
        }

        @Override
        public BodyState transferTo(ByteBuf target) {
            if (!begun) {
                beginListener.run();
                begun = true;
            }
            int wanted = Math.min(target.writableBytes(), bytes.length - sent);
            long nowMillis = ProcessClock.monotonicMillis();
            int piece;
            long waitMillis;
            synchronized (pace) {
                piece = pace.take(wanted, nowMillis);
                waitMillis = pace.waitMillis(nowMillis);
            }
            if (piece == 0) {
                timer.schedule(this::resume, waitMillis, TimeUnit.MILLISECONDS);
                return BodyState.SUSPEND;
            }
            target.writeBytes(bytes, sent, piece);
            sent += piece;
            return sent == bytes.length ? BodyState.STOP : BodyState.CONTINUE;
        }

        private void resume() {
            if (!closed) {
                listener.onContentAdded();
            }
        }

        @Override
        public void close() {
            closed = true;
        }
    }
}
