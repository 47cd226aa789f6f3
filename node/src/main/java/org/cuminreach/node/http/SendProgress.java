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
 * reached nobody. The same holds for a call that failed before the peer asked for its body.
 */
final class SendProgress extends AsyncCompletionHandlerBase {
    private enum Phase {
        OPEN,
        HEADERS_WRITTEN,
        WRITTEN,
        ENDED_UNWRITTEN
    }

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.OPEN);
    private final BodyMemory.Share share;
    private final boolean waitsForContinue;

    private SendProgress(BodyMemory.Share share, boolean waitsForContinue) {
        this.share = share;
        this.waitsForContinue = waitsForContinue;
    }

    /** Returns the progress of a call that is written at once. */
    static SendProgress ofWholeCall(BodyMemory.Share share) {
        return new SendProgress(share, false);
    }

    /** Returns the progress of a call whose body the peer has to ask for. */
    static SendProgress ofCallWithExpectedBody(BodyMemory.Share share) {
        return new SendProgress(share, true);
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
        advance(Phase.OPEN, waitsForContinue ? Phase.HEADERS_WRITTEN : Phase.WRITTEN);
    }

    /** Stops a body from being written after its call was reported as not sent. */
    void onBodyBegin() {
        advance(Phase.HEADERS_WRITTEN, Phase.WRITTEN);
    }

    private void advance(Phase from, Phase to) {
        if (!phase.compareAndSet(from, to) && phase.get() == Phase.ENDED_UNWRITTEN) {
            throw new IllegalStateException("call ended before it was written");
        }
    }

    /**
     * Releases the memory of the answer.
     *
     * @return the outcome, as not sent when the call was lost before it was written, or before its
     *     body was
     */
    SendOutcome end(SendOutcome outcome) {
        share.release();
        if (!(outcome instanceof SendOutcome.Lost lost)) {
            return outcome;
        }
        if (phase.compareAndSet(Phase.OPEN, Phase.ENDED_UNWRITTEN)) {
            return new SendOutcome.NotSent(lost.reason() + "_before_sending");
        }
        return phase.compareAndSet(Phase.HEADERS_WRITTEN, Phase.ENDED_UNWRITTEN)
                ? new SendOutcome.BodyNotSent(lost.reason() + "_before_body")
                : outcome;
    }
}
