package org.cuminreach.control.poison;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.cuminreach.control.replica.PeerNetwork;
import org.cuminreach.decisions.poison.SuspectChanges;
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

    /**
     * Interval at which the other controls are sent again what changed, since frames may be
     * dropped.
     */
    private static final long PEER_REFRESH_INTERVAL_MILLIS = 5_000;

    private static final class NodeState {
        private final BooleanSupplier welcomed;
        private long heldRevision;

        private NodeState(BooleanSupplier welcomed) {
            this.welcomed = welcomed;
        }
    }

    private final PeerNetwork peers;
    private final SuspectRegistry registry = SuspectRegistry.empty();
    private final Map<FrameConnection, NodeState> nodes = new ConcurrentHashMap<>();

    /** Revisions up to which the other controls have been sent everything. */
    private final Map<String, Long> controls = new ConcurrentHashMap<>();

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
     * @param welcomed tells whether the node has been welcomed and not redirected
     * @return the wrapped listener
     */
    public FrameListener wrap(FrameListener listener, BooleanSupplier welcomed) {
        return new NodeListener(listener, welcomed);
    }

    /**
     * Records that another control has connected and exchanges reports.
     *
     * @param control its identity
     */
    public void addSharingControl(String control) {
        controls.put(control, 0L);
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
        long revision = revision();
        Map<Long, EncodedChanges> changesByHeldRevision = new HashMap<>();
        nodes.forEach(
                (connection, node) -> {
                    if (node.heldRevision != revision && node.welcomed.getAsBoolean()) {
                        EncodedChanges changes =
                                changesByHeldRevision.computeIfAbsent(
                                        node.heldRevision,
                                        held -> changesForNodes(held, nowMillis));
                        if (changes.frames().stream().allMatch(connection::sendEncoded)) {
                            node.heldRevision = changes.revision();
                        }
                    }
                });
        if (isRefreshDue(nowMillis)) {
            refreshControls(revision, nowMillis);
        }
    }

    private record EncodedChanges(List<byte[]> frames, long revision) {}

    private synchronized long revision() {
        return registry.revision();
    }

    private synchronized boolean isRefreshDue(long nowMillis) {
        if (nowMillis - refreshedMillis < PEER_REFRESH_INTERVAL_MILLIS) {
            return false;
        }
        refreshedMillis = nowMillis;
        return true;
    }

    private synchronized EncodedChanges changesForNodes(long heldRevision, long nowMillis) {
        SuspectChanges changes =
                registry.changesForNodes(heldRevision, SuspectCodec.MAX_REPORTS, nowMillis);
        return new EncodedChanges(
                SuspectCodec.toFrames(changes.reports()).stream().map(FrameCodec::encode).toList(),
                changes.revision());
    }

    private void refreshControls(long revision, long nowMillis) {
        controls.forEach(
                (control, firstHeld) -> {
                    long held = firstHeld;
                    boolean accepted = true;
                    while (accepted && held < revision) {
                        SuspectChanges changes = changesForControls(held, nowMillis);
                        accepted =
                                SuspectCodec.toFrames(changes.reports()).stream()
                                        .allMatch(frame -> peers.send(control, frame));
                        held = accepted ? changes.revision() : held;
                    }
                    controls.replace(control, firstHeld, held);
                });
    }

    private synchronized SuspectChanges changesForControls(long heldRevision, long nowMillis) {
        return registry.changesForControls(heldRevision, SuspectCodec.MAX_REPORTS, nowMillis);
    }

    private void receiveFromNode(SuspectBatch batch, long nowMillis)
            throws MalformedFrameException {
        List<SuspectReport> changed = merge(SuspectCodec.toReports(batch), nowMillis);
        SuspectCodec.toFrames(changed)
                .forEach(frame -> controls.keySet().forEach(control -> peers.send(control, frame)));
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
        private final BooleanSupplier welcomed;

        NodeListener(FrameListener next, BooleanSupplier welcomed) {
            this.next = next;
            this.welcomed = welcomed;
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
                nodes.put(connection, new NodeState(welcomed));
            }
        }

        @Override
        public void closed(FrameConnection connection) {
            nodes.remove(connection);
            next.closed(connection);
        }
    }
}
