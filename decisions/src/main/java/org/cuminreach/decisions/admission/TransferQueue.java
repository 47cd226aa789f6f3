package org.cuminreach.decisions.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Queue of the long bodies that are to cross the link of a VM. They cross it one after the other:
 * bodies that are sent at once take as long together, but short calls would wait behind all of them
 * in the network. A body whose turn would come too late is refused before it is sent. Not
 * thread-safe.
 *
 * @param <T> type of a transfer
 */
public final class TransferQueue<T> {
    /** Reason of a refusal. */
    public static final String LINK_BUSY = "link_busy";

    /**
     * Share of the longest useful wait that a body accepts at its first, second and every later
     * node. Only the link of the node that was asked is known, so that a body looks for a free link
     * first.
     */
    private static final List<Double> ACCEPTED_WAIT_SHARES = List.of(0.0, 0.3, 1.0);

    /** Rest of a transfer that takes longer than expected, in milliseconds. */
    private static final double MIN_REST_MILLIS = 1;

    private record Waiting<T>(T transfer, long bytes) {}

    private final double bytesPerMilli;
    private final Deque<Waiting<T>> waiting = new ArrayDeque<>();
    private final Map<T, Long> waitingBytes = new HashMap<>();
    private Optional<T> running = Optional.empty();
    private double runningUntilMillis;
    private long totalWaitingBytes;

    private TransferQueue(double bytesPerMilli) {
        this.bytesPerMilli = bytesPerMilli;
    }

    /**
     * Creates an empty queue.
     *
     * @param <T> type of a transfer
     * @param link rate of the link, which is known
     * @return the queue
     */
    public static <T> TransferQueue<T> ofLink(LinkRate link) {
        return new TransferQueue<>(link.longBodyBytesPerMilli());
    }

    /**
     * Returns the time that a body takes to cross the link.
     *
     * @param bytes its length
     * @return the time in milliseconds
     */
    public long durationMillis(long bytes) {
        return Math.round(bytes / bytesPerMilli);
    }

    /**
     * Returns how long a body should wait at a node rather than be offered to another one.
     *
     * @param maxWaitMillis longest wait after which it is still of use, in milliseconds
     * @param refusals number of nodes that have refused it
     * @return the wait in milliseconds
     */
    public static double acceptedWaitMillis(double maxWaitMillis, int refusals) {
        int node = Math.clamp(refusals, 0, ACCEPTED_WAIT_SHARES.size() - 1);
        return ACCEPTED_WAIT_SHARES.get(node) * Math.max(0, maxWaitMillis);
    }

    /**
     * Offers a body.
     *
     * @param transfer its transfer
     * @param bytes its length
     * @param maxWaitMillis longest wait after which it is still of use, in milliseconds
     * @param nowMillis current time
     * @return whether it may be sent now, later, or not at all
     */
    public AdmissionOutcome offer(T transfer, long bytes, double maxWaitMillis, long nowMillis) {
        double wait = waitMillis(nowMillis);
        if (wait > Math.max(0, maxWaitMillis)) {
            double excess = wait - Math.max(0, maxWaitMillis);
            return new AdmissionOutcome.Refused(LINK_BUSY, Math.max(1, Math.round(excess)));
        }
        if (running.isEmpty()) {
            start(transfer, bytes, nowMillis);
            return new AdmissionOutcome.Run();
        }
        waiting.add(new Waiting<>(transfer, bytes));
        waitingBytes.put(transfer, bytes);
        totalWaitingBytes += bytes;
        return new AdmissionOutcome.Queued();
    }

    /**
     * Ends a transfer, whether its body arrived, stopped or was never sent. Ending it again changes
     * nothing.
     *
     * @param transfer the transfer
     * @param nowMillis current time
     * @return the transfer that starts now, if any
     */
    public Optional<T> end(T transfer, long nowMillis) {
        Long bytes = waitingBytes.remove(transfer);
        if (bytes != null) {
            waiting.removeIf(queued -> queued.transfer().equals(transfer));
            totalWaitingBytes -= bytes;
            return Optional.empty();
        }
        if (!running.equals(Optional.of(transfer))) {
            return Optional.empty();
        }
        running = Optional.empty();
        Waiting<T> next = waiting.poll();
        if (next == null) {
            return Optional.empty();
        }
        waitingBytes.remove(next.transfer());
        totalWaitingBytes -= next.bytes();
        start(next.transfer(), next.bytes(), nowMillis);
        return running;
    }

    /**
     * Returns the time until a body that is offered now could be sent.
     *
     * @param nowMillis current time
     * @return the time in milliseconds, 0 when no other one is on its way
     */
    public double waitMillis(long nowMillis) {
        if (running.isEmpty()) {
            return 0;
        }
        double rest = Math.max(MIN_REST_MILLIS, runningUntilMillis - nowMillis);
        return rest + totalWaitingBytes / bytesPerMilli;
    }

    private void start(T transfer, long bytes, long nowMillis) {
        running = Optional.of(transfer);
        runningUntilMillis = nowMillis + bytes / bytesPerMilli;
    }
}
