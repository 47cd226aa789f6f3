package org.cuminreach.node.target;

import java.util.Optional;
import org.cuminreach.decisions.admission.AdmissionOutcome;
import org.cuminreach.decisions.admission.AdmissionRequest;
import org.cuminreach.decisions.admission.LinkRate;
import org.cuminreach.decisions.admission.TransferQueue;
import org.cuminreach.decisions.routing.RouteMetadata;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.BodyGate;
import org.cuminreach.runtime.http.BodyTransfer;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;

/**
 * Receives the long bodies of calls to the target one after the other, so that short calls to the
 * node do not wait behind them on its link. A call is refused before its body is sent when the
 * target takes no calls, when the body would come too late, or when another link may be free.
 * Thread-safe.
 */
public final class InboundBodies implements BodyGate {
    private final TargetAdmissionHandler admission;
    private final TransferQueue<BodyTransfer> queue;
    private final long stallMillis;

    private InboundBodies(TargetAdmissionHandler admission, LinkRate link, long stallMillis) {
        this.admission = admission;
        this.stallMillis = stallMillis;
        queue = TransferQueue.ofLink(link);
    }

    /**
     * Returns the gate for the bodies of calls to a target.
     *
     * @param admission admission control of the target
     * @param link rate of the VM's link
     * @return the gate; an open one when the rate is not known
     */
    public static BodyGate create(TargetAdmissionHandler admission, LinkRate link) {
        return create(admission, link, DEFAULT_STALL_MILLIS);
    }

    static BodyGate create(TargetAdmissionHandler admission, LinkRate link, long stallMillis) {
        return link.isKnown() ? new InboundBodies(admission, link, stallMillis) : BodyGate.open();
    }

    @Override
    public Optional<HttpAnswer> offer(BodyTransfer transfer) {
        HttpCall head = transfer.head();
        long nowMillis = transfer.offeredMillis();
        PendingCall pending = admission.pendingCall(head, nowMillis);
        boolean isForTarget = !head.headers().contains(MeshHeaders.KEY_HOME);
        Optional<String> refusal =
                isForTarget ? admission.refusalReason(pending, nowMillis) : Optional.empty();
        if (refusal.isPresent()) {
            return Optional.of(
                    admission.refusal(
                            pending, refusal.get(), TargetAdmissionHandler.DRAINING_RETRY_MILLIS));
        }
        double maxWait =
                isForTarget
                        ? TransferQueue.acceptedWaitMillis(
                                maxWaitMillis(pending.admissionRequest(), transfer.bytes()),
                                CallAnswers.intHeader(head, MeshHeaders.REFUSALS, 0))
                        : Double.MAX_VALUE;
        AdmissionOutcome outcome;
        synchronized (queue) {
            outcome = queue.offer(transfer, transfer.bytes(), maxWait, nowMillis);
        }
        return switch (outcome) {
            case AdmissionOutcome.Run run -> {
                transfer.start();
                yield Optional.empty();
            }
            case AdmissionOutcome.Queued queued -> Optional.empty();
            case AdmissionOutcome.Refused refused ->
                    Optional.of(
                            admission.refusal(
                                    pending, refused.reason(), refused.retryAfterMillis()));
        };
    }

    /** Returns how long a body may wait so that its call can still start in time. */
    private double maxWaitMillis(AdmissionRequest request, long bytes) {
        long duration = queue.durationMillis(bytes);
        AdmissionRequest received = request.arrivedLater(duration);
        return received.latestStartMillis() - received.arrivedMillis();
    }

    @Override
    public long stallMillis() {
        return stallMillis;
    }

    @Override
    public void end(BodyTransfer transfer) {
        long nowMillis = ProcessClock.monotonicMillis();
        deductElapsed(transfer.head(), nowMillis - transfer.offeredMillis());
        Optional<BodyTransfer> next;
        synchronized (queue) {
            next = queue.end(transfer, nowMillis);
        }
        next.ifPresent(BodyTransfer::start);
    }

    /** Deducts the time since the headers arrived from the times that they state. */
    private static void deductElapsed(HttpCall head, long elapsedMillis) {
        int remainingMillis = CallAnswers.intHeader(head, MeshHeaders.REMAINING_MILLIS, -1);
        if (remainingMillis >= 0) {
            head.headers()
                    .set(
                            MeshHeaders.REMAINING_MILLIS,
                            Math.max(0, remainingMillis - elapsedMillis));
        }
        String route = head.headers().get(MeshHeaders.ROUTE);
        if (route != null) {
            head.headers()
                    .set(MeshHeaders.ROUTE, RouteMetadata.parse(route).after(elapsedMillis).text());
        }
    }
}
