package org.cuminreach.control.node;

import java.util.List;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.wire.EvidenceCodec;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.MembershipCodec;
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
    private volatile long incarnation;
    private volatile long announcedSequence;
    private volatile boolean welcomed;

    NodeSession(MeshSessions sessions) {
        this.sessions = sessions;
    }

    String node() {
        return node;
    }

    long incarnation() {
        return incarnation;
    }

    long announcedSequence() {
        return announcedSequence;
    }

    boolean welcomed() {
        return welcomed;
    }

    void welcome(byte[] configuration, List<Announcement> targets) {
        connection.send(Frame.nodeWelcome(new NodeWelcome(sessions.controlName())));
        connection.send(MembershipCodec.toFrame(targets));
        connection.sendEncoded(configuration);
        welcomed = true;
    }

    void send(byte[] encoded) {
        if (!connection.sendEncoded(encoded)) {
            LOGGER.info("event=node_dropped node={} reason=too_slow", node);
            connection.close();
        }
    }

    void redirect(String reason, long comeBackMillis) {
        connection.send(Frame.nodeRedirect(new NodeRedirect(reason, comeBackMillis)));
        LOGGER.info(
                "event=node_redirected node={} reason={} come_back_ms={}",
                node,
                reason,
                comeBackMillis);
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
            case HEARTBEAT -> from.send(frame);
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

    private void greet(NodeHello hello) {
        node = hello.getNode();
        incarnation = hello.getIncarnation();
        LOGGER.info(
                "event=node_hello node={} held_version={} remote={}",
                node,
                hello.getHeldVersion(),
                connection.remote());
        sessions.greeted(this);
    }

    private void announce(Frame frame) throws MalformedFrameException {
        List<Announcement> announcements =
                MembershipCodec.toAnnouncements(frame.getAnnouncements());
        for (Announcement announcement : announcements) {
            if (!announcement.node().equals(node)) {
                throw new MalformedFrameException("a node announces its own target only");
            }
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
        sessions.holds(this, report.getVersion());
    }
}
