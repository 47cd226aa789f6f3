package org.cuminreach.node.http;

import java.util.concurrent.atomic.AtomicReference;
import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.netty.request.NettyRequest;
import org.cuminreach.runtime.http.BodyMemory;
import org.cuminreach.runtime.http.BodyMemoryExhaustedException;

/**
 * Tells whether a call was written to a connection, and bounds its answer. A call that failed
 * before it was written, for example because its time ran out while the connection was opened, has
 * reached nobody.
 */
final class SendProgress extends AsyncCompletionHandlerBase {
    private enum Phase {
        OPEN,
        WRITTEN,
        ENDED_UNWRITTEN
    }

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.OPEN);
    private final BodyMemory.Share share;

    SendProgress(BodyMemory.Share share) {
        this.share = share;
    }

    /** Closes the connection by its failure when there is no memory for the answer. */
    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
        if (!share.tryGrow(part.length())) {
            throw new BodyMemoryExhaustedException();
        }
        return super.onBodyPartReceived(part);
    }

    /** Stops a call from being written after it was reported as not sent. */
    @Override
    public void onRequestSend(NettyRequest request) {
        if (!phase.compareAndSet(Phase.OPEN, Phase.WRITTEN)
                && phase.get() == Phase.ENDED_UNWRITTEN) {
            throw new IllegalStateException("call ended before its connection was open");
        }
    }

    /**
     * Releases the memory of the answer.
     *
     * @return the outcome, as not sent when the call was lost before it was written
     */
    SendOutcome end(SendOutcome outcome) {
        share.release();
        return outcome instanceof SendOutcome.Lost lost
                        && phase.compareAndSet(Phase.OPEN, Phase.ENDED_UNWRITTEN)
                ? new SendOutcome.NotSent(lost.reason() + "_before_sending")
                : outcome;
    }
}
