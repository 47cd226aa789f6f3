package org.cuminreach.control.poison;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminreach.control.replica.PeerNetwork;
import org.cuminreach.decisions.poison.SuspectRegistry;
import org.cuminreach.decisions.poison.SuspectReport;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.SuspectCodec;
import org.cuminreach.wire.frame.FrameCodec;
import org.cuminreach.wire.frame.FrameConnection;
import org.cuminreach.wire.frame.FrameListener;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.SuspectBatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Collects what nodes report of requests that lose their targets, and passes it on to the other
 * controls and to all nodes of this control. Thread-safe.
 */
public final class SuspectService {
    private static final Logger LOGGER = LoggerFactory.getLogger(SuspectService.class);

    /** Interval at which all is sent to the other controls, since frames may be dropped. */
    private static final long PEER_REFRESH_INTERVAL_MILLIS = 5_000;

    private final PeerNetwork peers;
    private final SuspectRegistry registry = SuspectRegistry.empty();
    private final Map<FrameConnection, Long> heldRevisions = new ConcurrentHashMap<>();
    private final Set<String> sharingControls = ConcurrentHashMap.newKeySet();
    private long refreshedMillis;

    private SuspectService(PeerNetwork peers) {
        this.peers = peers;
    }

    /**
     * Returns a service that knows no suspected request.
     *
     * @param peers sends frames to the other controls
     * @return the service
     */
    public static SuspectService create(PeerNetwork peers) {
        return new SuspectService(peers);
    }

    /**
     * Wraps the listener of a node's connection.
     *
     * @param listener receives all frames but reports of suspected requests
     * @return the wrapped listener
     */
    public FrameListener wrap(FrameListener listener) {
        return new NodeListener(listener);
    }

    /**
     * Records that another control exchanges reports.
     *
     * @param control its identity
     */
    public void addSharingControl(String control) {
        if (sharingControls.add(control)) {
            sendAll(control, ProcessClock.monotonicMillis());
        }
    }

    /**
     * Merges the reports of another control.
     *
     * @param batch the reports
     * @param nowMillis current time
     * @throws MalformedFrameException when a report is malformed
     */
    public void receiveFromControl(SuspectBatch batch, long nowMillis)
            throws MalformedFrameException {
        merge(SuspectCodec.toReports(batch), nowMillis);
    }

    /**
     * Sends the nodes the changes that they lack, and refreshes the other controls.
     *
     * @param nowMillis current time
     */
    public void onTimer(long nowMillis) {
        long revision;
        synchronized (this) {
            revision = registry.revision();
        }
        Map<Long, List<byte[]>> framesByHeldRevision = new HashMap<>();
        heldRevisions.forEach(
                (node, held) -> {
                    if (held != revision) {
                        List<byte[]> frames =
                                framesByHeldRevision.computeIfAbsent(
                                        held, from -> framesForNodes(from, nowMillis));
                        if (frames.stream().allMatch(node::sendEncoded)) {
                            heldRevisions.replace(node, held, revision);
                        }
                    }
                });
        if (isRefreshDue(nowMillis)) {
            sharingControls.forEach(control -> sendAll(control, nowMillis));
        }
    }

    private synchronized boolean isRefreshDue(long nowMillis) {
        if (nowMillis - refreshedMillis < PEER_REFRESH_INTERVAL_MILLIS) {
            return false;
        }
        refreshedMillis = nowMillis;
        return true;
    }

    private synchronized List<byte[]> framesForNodes(long heldRevision, long nowMillis) {
        return SuspectCodec.toFrames(registry.changesForNodes(heldRevision, nowMillis)).stream()
                .map(FrameCodec::encode)
                .toList();
    }

    private void sendAll(String control, long nowMillis) {
        List<SuspectReport> all;
        synchronized (this) {
            all = registry.all(nowMillis);
        }
        SuspectCodec.toFrames(all).forEach(frame -> peers.send(control, frame));
    }

    private void receiveFromNode(SuspectBatch batch, long nowMillis)
            throws MalformedFrameException {
        List<SuspectReport> changed = merge(SuspectCodec.toReports(batch), nowMillis);
        SuspectCodec.toFrames(changed)
                .forEach(frame -> sharingControls.forEach(control -> peers.send(control, frame)));
    }

    private synchronized List<SuspectReport> merge(List<SuspectReport> reports, long nowMillis) {
        List<SuspectReport> changed = new ArrayList<>();
        for (SuspectReport report : reports) {
            if (registry.merge(report, nowMillis)) {
                changed.add(report);
                LOGGER.info("event=suspect_reported report={}", report);
            }
        }
        return changed;
    }

    private final class NodeListener implements FrameListener {
        private final FrameListener next;

        NodeListener(FrameListener next) {
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
                receiveFromNode(frame.getSuspects(), ProcessClock.monotonicMillis());
                return;
            }
            next.received(connection, frame);
            if (frame.getSetField() == Frame._Fields.NODE_HELLO
                    && frame.getNodeHello().isSharesSuspects()
                    && connection.isOpen()) {
                heldRevisions.put(connection, 0L);
            }
        }

        @Override
        public void closed(FrameConnection connection) {
            heldRevisions.remove(connection);
            next.closed(connection);
        }
    }
}
