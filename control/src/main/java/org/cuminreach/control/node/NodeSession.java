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
final class NodeSession implements FrameListener {
    private static final Logger LOGGER = LoggerFactory.getLogger(NodeSession.class);

    private final MeshSessions sessions;
    private volatile FrameConnection connection;
    private volatile String node = "";
    private volatile String dataCentre = "";
    private volatile boolean mayMove;
    private volatile long incarnation;
    private volatile long heldVersion;
    private volatile long announcedSequence;
    private boolean targetsComplete;
    private Optional<NodeSyncState> feed = Optional.empty();
    private Optional<Long> sentAwayMillis = Optional.empty();

    NodeSession(MeshSessions sessions) {
        this.sessions = sessions;
    }

    String node() {
        return node;
    }

    String dataCentre() {
        return dataCentre;
    }

    /** Tells whether the node lets itself be sent to a nearer control. */
    boolean mayMove() {
        return mayMove;
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

    synchronized boolean welcomed() {
        return feed.isPresent();
    }

    synchronized Optional<Long> sentAwayMillis() {
        return sentAwayMillis;
    }

    /** Welcomes the node, unless it has been sent away in the meantime. */
    synchronized boolean welcome(Optional<Long> knownIncarnation, boolean settled) {
        if (sentAwayMillis.isPresent()) {
            return false;
        }
        NodeWelcome welcome = new NodeWelcome(sessions.controlName());
        knownIncarnation.ifPresent(welcome::setKnownIncarnation);
        welcome.setControls(sessions.controlAddresses());
        if (!connection.send(Frame.nodeWelcome(welcome))) {
            connection.close();
            return false;
        }
        targetsComplete = settled;
        feed = Optional.of(NodeSyncState.of(heldVersion));
        return true;
    }

    /** Sends what the node lacks, as far as its connection takes it now. */
    synchronized void flush(FeedFrames frames) {
        if (feed.isEmpty()) {
            return;
        }
        SyncStep step = feed.get().next(frames.revision(), frames.version());
        while (!(step instanceof SyncStep.Nothing) && send(step, frames)) {
            feed.get().recordSent(step);
            step = feed.get().next(frames.revision(), frames.version());
        }
    }

    /** Feeds the node the complete list of targets, if it was welcomed before there was one. */
    synchronized boolean completeTargets() {
        if (feed.isEmpty() || targetsComplete) {
            return false;
        }
        targetsComplete = true;
        feed.get().resetTargets();
        return true;
    }

    /** Sends the node away, once; it is fed no more. */
    synchronized boolean redirect(NodeRedirect redirect, long nowMillis) {
        if (sentAwayMillis.isPresent()) {
            return false;
        }
        feed = Optional.empty();
        sentAwayMillis = Optional.of(nowMillis);
        if (!connection.send(Frame.nodeRedirect(redirect))) {
            connection.close();
        }
        LOGGER.info(
                "event=node_redirected node={} reason={} come_back_ms={} nearer={}",
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
            greet(frame.getNodeHello());
            return;
        }
        if (node.isEmpty()) {
            throw new MalformedFrameException("a node must say hello first");
        }
        switch (frame.getSetField()) {
            case ANNOUNCEMENTS -> announce(frame);
            case EVIDENCE -> sessions.evidence(EvidenceCodec.toEvidence(frame.getEvidence()));
            case CONFIGURATION_REPORT -> report(frame.getConfigurationReport());
            case HEARTBEAT -> answer(from, frame);
            default -> throw new MalformedFrameException("no node sends " + frame.getSetField());
        }
    }

    @Override
    public void closed(FrameConnection closedConnection) {
        if (!node.isEmpty()) {
            LOGGER.info("event=node_disconnected node={}", node);
            sessions.closed(this);
        }
    }

    private boolean send(SyncStep step, FeedFrames frames) {
        return switch (step) {
            case SyncStep.Nothing nothing -> true;
            case SyncStep.SendTargets targets -> connection.sendEncoded(frames.targets(targets));
            case SyncStep.SendConfiguration configuration ->
                    connection.sendEncoded(frames.configuration(configuration));
        };
    }

    private void answer(FrameConnection from, Frame heartbeat) {
        mayMove = heartbeat.getHeartbeat().isMayMove();
        from.send(heartbeat);
    }

    private void greet(NodeHello hello) throws MalformedFrameException {
        if (!node.isEmpty()) {
            throw new MalformedFrameException("a node says hello once");
        }
        node = hello.getNode();
        dataCentre = hello.getDataCentre();
        mayMove = hello.isMayMove();
        incarnation = hello.getIncarnation();
        heldVersion = hello.getHeldVersion();
        LOGGER.info(
                "event=node_hello node={} held_version={} remote={}",
                node,
                heldVersion,
                connection.remoteAddress());
        sessions.greeted(this);
    }

    private void announce(Frame frame) throws MalformedFrameException {
        List<Announcement> announcements =
                AnnouncementCodec.toAnnouncements(frame.getAnnouncements());
        for (Announcement announcement : announcements) {
            if (!announcement.node().equals(node)) {
                throw new MalformedFrameException("a node announces its own target only");
            }
            incarnation = announcement.incarnation();
            announcedSequence = announcement.sequence();
        }
        sessions.announced(announcements);
    }

    private void report(ConfigurationReport report) {
        if (report.isSetFaults()) {
            LOGGER.error(
                    "event=configuration_refused_by_node node={} held_version={} faults={}",
                    node,
                    report.getVersion(),
                    report.getFaults());
        }
        heldVersion = report.getVersion();
        sessions.holds(this);
        if (report.isNeedsWhole()) {
            LOGGER.warn(
                    "event=whole_configuration_asked node={} held_version={}", node, heldVersion);
            feedWhole();
            sessions.feed(this);
        }
    }

    private synchronized void feedWhole() {
        feed.ifPresent(NodeSyncState::resetConfiguration);
    }
}
