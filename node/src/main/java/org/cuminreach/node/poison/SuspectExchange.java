package org.cuminreach.node.poison;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;
import org.cuminreach.decisions.poison.SuspectReport;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.SuspectCodec;
import org.cuminreach.wire.frame.FrameConnection;
import org.cuminreach.wire.frame.FrameListener;
import org.cuminreach.wire.generated.Frame;

/**
 * Exchanges reports of suspected requests with the control of this node. A control that has just
 * welcomed the node, or that a report could not be sent to, is sent everything. Thread-safe.
 */
final class SuspectExchange {
    private final LongFunction<List<SuspectReport>> known;
    private final BiConsumer<List<SuspectReport>, Long> receiver;
    private final Deque<Frame> unsent = new ArrayDeque<>();
    private Optional<FrameConnection> control = Optional.empty();

    SuspectExchange(
            LongFunction<List<SuspectReport>> known,
            BiConsumer<List<SuspectReport>, Long> receiver) {
        this.known = known;
        this.receiver = receiver;
    }

    FrameListener wrap(FrameListener listener) {
        return new SessionListener(listener);
    }

    /** Sends reports, as soon as the control takes them. */
    void send(List<SuspectReport> reports, long nowMillis) {
        synchronized (this) {
            if (control.isEmpty()) {
                return;
            }
            unsent.addAll(SuspectCodec.toFrames(reports));
        }
        onTimer(nowMillis);
    }

    /** Sends what the connection did not take before. */
    synchronized void onTimer(long nowMillis) {
        if (unsent.size() > SuspectCodec.MAX_REPORTS) {
            unsent.clear();
            unsent.addAll(SuspectCodec.toFrames(known.apply(nowMillis)));
        }
        while (control.isPresent() && !unsent.isEmpty() && control.get().send(unsent.peek())) {
            unsent.remove();
        }
    }

    private void startSession(FrameConnection welcomed) {
        long nowMillis = ProcessClock.monotonicMillis();
        List<Frame> all = SuspectCodec.toFrames(known.apply(nowMillis));
        synchronized (this) {
            control = Optional.of(welcomed);
            unsent.clear();
            unsent.addAll(all);
        }
        onTimer(nowMillis);
    }

    private synchronized void endSession(FrameConnection closed) {
        if (control.equals(Optional.of(closed))) {
            control = Optional.empty();
            unsent.clear();
        }
    }

    private final class SessionListener implements FrameListener {
        private final FrameListener next;

        SessionListener(FrameListener next) {
            this.next = next;
        }

        @Override
        public void opened(FrameConnection connection) {
            next.opened(connection);
        }

        @Override
        public void received(FrameConnection connection, Frame frame)
                throws MalformedFrameException {
            if (frame.getSetField() == Frame._Fields.SUSPECTS) {
                receiver.accept(
                        SuspectCodec.toReports(frame.getSuspects()),
                        ProcessClock.monotonicMillis());
                return;
            }
            next.received(connection, frame);
            if (frame.getSetField() == Frame._Fields.NODE_WELCOME
                    && frame.getNodeWelcome().isSharesSuspects()
                    && connection.isOpen()) {
                startSession(connection);
            }
        }

        @Override
        public void closed(FrameConnection connection) {
            endSession(connection);
            next.closed(connection);
        }
    }
}
