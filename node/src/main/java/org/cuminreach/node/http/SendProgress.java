package org.cuminreach.node.http;

import java.util.concurrent.atomic.AtomicReference;
import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.netty.request.NettyRequest;

/**
 * Tells whether a call was written to a connection. A call that failed before, for example because
 * its time ran out while the connection was opened, has reached nobody.
 */
final class SendProgress extends AsyncCompletionHandlerBase {
    private enum Phase {
        OPEN,
        WRITTEN,
        ENDED_UNWRITTEN
    }

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.OPEN);

    /** Stops a call from being written after it was reported as not sent. */
    @Override
    public void onRequestSend(NettyRequest request) {
        if (!phase.compareAndSet(Phase.OPEN, Phase.WRITTEN)
                && phase.get() == Phase.ENDED_UNWRITTEN) {
            throw new IllegalStateException("call ended before its connection was open");
        }
    }

    /** Returns the outcome, as not sent when the call was lost before it was written. */
    SendOutcome correct(SendOutcome outcome) {
        return outcome instanceof SendOutcome.Lost lost
                        && phase.compareAndSet(Phase.OPEN, Phase.ENDED_UNWRITTEN)
                ? new SendOutcome.NotSent(lost.reason() + "_before_sending")
                : outcome;
    }
}
