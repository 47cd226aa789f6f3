package org.cuminreach.control.node;

import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.distribution.NodeSyncState;
import org.cuminreach.decisions.distribution.SyncStep;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.wire.AnnouncementCodec;
import org.cuminreach.wire.EvidenceCodec;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.frame.FrameConnection;
import org.cuminreach.wire.frame.FrameListener;
import org.cuminreach.wire.generated.ConfigurationReport;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.NodeHello;
import org.cuminreach.wire.generated.NodeRedirect;
import org.cuminreach.wire.generated.NodeWelcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The session of one node with this control. */
public final class NodeSession implements FrameListener {
    private static final Logger LOGGER = LoggerFactory.getLogger(NodeSession.class);

    private final NodeSessionManager sessions;
    private final FreshnessResponder freshness;
    private volatile FrameConnection connection;
    private volatile String node = "";
    private volatile String dataCentre = "";
    private volatile boolean acceptsRedirect;
    private volatile long incarnation;
    private volatile long heldVersion;
    private volatile long announcedSequence;
    private boolean completeTargetsSent;
    private Optional<NodeSyncState> syncState = Optional.empty();
    private Optional<Long> redirectedMillis = Optional.empty();

    NodeSession(NodeSessionManager sessions) {
        this.sessions = sessions;
        this.freshness = new FreshnessResponder(sessions::confirmedVersion);
    }

    String node() {
        return node;
    }

    String dataCentre() {
        return dataCentre;
    }

    /** Tells whether the node currently accepts a redirect to a control in its own data centre. */
    boolean acceptsRedirect() {
        return acceptsRedirect;
    }

    long incarnation() {
        return incarnation;
    }

    long heldVersion() {
        return heldVersion;
    }

    long announcedSequence() {
        return announcedSequence;
    }

    /**
     * Tells whether the node has been welcomed and not been redirected since.
     *
     * @return whether the node is to be sent changes
     */
    public synchronized boolean isWelcomed() {
        return syncState.isPresent();
    }

    synchronized Optional<Long> redirectedMillis() {
        return redirectedMillis;
    }

    /** Welcomes the node, unless it has been redirected in the meantime. */
    synchronized boolean welcome(Optional<Long> knownIncarnation, boolean targetListComplete) {
        if (redirectedMillis.isPresent()) {
            return false;
        }
        NodeWelcome welcome = new NodeWelcome(sessions.controlName()).setSharesSuspects(true);
        knownIncarnation.ifPresent(welcome::setKnownIncarnation);
        welcome.setControls(sessions.controlAddresses());
        if (!connection.send(Frame.nodeWelcome(welcome))) {
            connection.close();
            return false;
        }
        completeTargetsSent = targetListComplete;
        syncState = Optional.of(NodeSyncState.of(heldVersion));
        return true;
    }

    /** Sends the updates that the node lacks, as far as its connection accepts them now. */
    synchronized void sendUpdates(SyncFrames frames) {
        if (syncState.isEmpty()) {
            return;
        }
        SyncStep step = syncState.get().next(frames.revision(), frames.version());
        while (!(step instanceof SyncStep.Nothing) && send(step, frames)) {
            syncState.get().recordSent(step);
            step = syncState.get().next(frames.revision(), frames.version());
        }
    }

    /** Makes the complete list of targets be sent, if the node has not been sent one yet. */
    synchronized boolean scheduleCompleteTargets() {
        if (syncState.isEmpty() || completeTargetsSent) {
            return false;
        }
        completeTargetsSent = true;
        syncState.get().resetTargets();
        return true;
    }

    /** Redirects the node, once. It receives no further updates. */
    synchronized boolean redirect(NodeRedirect redirect, long nowMillis) {
        if (redirectedMillis.isPresent()) {
            return false;
        }
        syncState = Optional.empty();
        redirectedMillis = Optional.of(nowMillis);
        if (!connection.send(Frame.nodeRedirect(redirect))) {
            connection.close();
        }
        LOGGER.info(
                "event=node_redirected node={} reason={} retry_after_ms={} nearer_control={}",
                node,
                redirect.getReason(),
                redirect.getComeBackMillis(),
                redirect.getNearer());
        return true;
    }

    void close() {
        connection.close();
    }

    @Override
    public void opened(FrameConnection opened) {
        connection = opened;
    }

    @Override
    public void received(FrameConnection from, Frame frame) throws MalformedFrameException {
        if (frame.getSetField() == Frame._Fields.NODE_HELLO) {
            onHello(frame.getNodeHello());
            return;
        }
        if (node.isEmpty()) {
            throw new MalformedFrameException("the first frame of a node must be its hello");
        }
        switch (frame.getSetField()) {
            case ANNOUNCEMENTS -> onAnnouncements(frame);
            case EVIDENCE ->
                    sessions.forwardEvidence(EvidenceCodec.toEvidence(frame.getEvidence()));
            case CONFIGURATION_REPORT -> onConfigurationReport(frame.getConfigurationReport());
            case HEARTBEAT -> onHeartbeat(from, frame);
            default ->
                    throw new MalformedFrameException(
                            "unexpected frame from a node: " + frame.getSetField());
        }
    }

    @Override
    public void closed(FrameConnection closedConnection) {
        if (!node.isEmpty()) {
            LOGGER.info("event=node_disconnected node={}", node);
            sessions.onClosed(this);
        }
    }

    private boolean send(SyncStep step, SyncFrames frames) {
        return switch (step) {
            case SyncStep.Nothing nothing -> true;
            case SyncStep.SendTargets targets -> connection.sendEncoded(frames.targets(targets));
            case SyncStep.SendConfiguration configuration ->
                    connection.sendEncoded(frames.configuration(configuration));
        };
    }

    private void onHeartbeat(FrameConnection from, Frame heartbeat) {
        acceptsRedirect = heartbeat.getHeartbeat().isMayMove();
        freshness.answer(heartbeat.getHeartbeat(), reply -> from.send(Frame.heartbeat(reply)));
    }

    private void onHello(NodeHello hello) throws MalformedFrameException {
        if (!node.isEmpty()) {
            throw new MalformedFrameException("a node must send its hello only once");
        }
        node = hello.getNode();
        dataCentre = hello.getDataCentre();
        acceptsRedirect = hello.isMayMove();
        incarnation = hello.getIncarnation();
        heldVersion = hello.getHeldVersion();
        LOGGER.info(
                "event=node_hello node={} held_version={} remote={}",
                node,
                heldVersion,
                connection.remoteAddress());
        sessions.onHello(this);
    }

    private void onAnnouncements(Frame frame) throws MalformedFrameException {
        List<Announcement> announcements =
                AnnouncementCodec.toAnnouncements(frame.getAnnouncements());
        for (Announcement announcement : announcements) {
            if (!announcement.node().equals(node)) {
                throw new MalformedFrameException("a node must announce only its own target");
            }
            incarnation = announcement.incarnation();
            announcedSequence = announcement.sequence();
        }
        sessions.onAnnouncements(announcements);
    }

    private void onConfigurationReport(ConfigurationReport report) {
        if (report.isSetFaults()) {
            LOGGER.error(
                    "event=configuration_refused_by_node node={} held_version={} faults={}",
                    node,
                    report.getVersion(),
                    report.getFaults());
        }
        heldVersion = report.getVersion();
        sessions.recordHolding(this);
        if (report.isNeedsWhole()) {
            LOGGER.warn(
                    "event=full_configuration_requested node={} held_version={}",
                    node,
                    heldVersion);
            resetConfiguration();
            sessions.sendUpdates(this);
        }
    }

    private synchronized void resetConfiguration() {
        syncState.ifPresent(NodeSyncState::resetConfiguration);
    }
}
