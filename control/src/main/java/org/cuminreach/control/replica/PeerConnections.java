package org.cuminreach.control.replica;

import io.netty.channel.Channel;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cuminreach.decisions.agreement.Member;
import org.cuminreach.decisions.agreement.Membership;
import org.cuminreach.decisions.configuration.DocumentEdit;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.AnnouncementCodec;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.EvidenceCodec;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.RaftCodec;
import org.cuminreach.wire.frame.FrameConnection;
import org.cuminreach.wire.frame.FrameEndpoints;
import org.cuminreach.wire.frame.FrameListener;
import org.cuminreach.wire.generated.ControlHello;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.Heartbeat;
import org.cuminreach.wire.generated.JoinRequest;
import org.cuminreach.wire.generated.SubmissionAnswer;
import org.cuminreach.wire.generated.SubmissionForward;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The connections to the other controls. Each control connects to every other one, sends over its
 * outbound connections and accepts only inbound connections that name its own identity. A control
 * that does not know the members yet responds to the leader over the leader's connection.
 */
public final class PeerConnections implements PeerNetwork {
    private static final Logger LOGGER = LoggerFactory.getLogger(PeerConnections.class);

    /** Receiver identity in a hello that is meant for any control at the address. */
    private static final String ANY_CONTROL = "";

    private static final long FORWARD_TIMEOUT_MILLIS = 5_000;

    /** The outbound connection to one control. */
    private static final class Peer {
        private final Address address;
        private volatile FrameConnection connection;
        private volatile boolean connecting;

        Peer(Address address) {
            this.address = address;
        }
    }

    private final String self;
    private final Address operatorAddress;
    private final FrameEndpoints endpoints;
    private final Map<String, Peer> peers = new ConcurrentHashMap<>();
    private final Map<String, FrameConnection> inboundConnections = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<SubmitResult>> forwards = new ConcurrentHashMap<>();
    private final AtomicLong lastCorrelationId = new AtomicLong();
    private volatile ReplicaDriver replica;
    private volatile PeerMessageHandler handler;

    private PeerConnections(String self, Address operatorAddress, FrameEndpoints endpoints) {
        this.self = self;
        this.operatorAddress = operatorAddress;
        this.endpoints = endpoints;
    }

    /**
     * Creates the connections, without opening any.
     *
     * @param self identity of this control
     * @param operatorAddress address on which operators reach this control
     * @param endpoints opens connections
     * @return the connections
     */
    public static PeerConnections create(
            String self, Address operatorAddress, FrameEndpoints endpoints) {
        return new PeerConnections(self, operatorAddress, endpoints);
    }

    /**
     * Starts to accept connections of other controls.
     *
     * @param address the address to listen on
     * @param newReplica receives their Raft messages
     * @param newHandler handles their other messages
     * @return completes when listening
     */
    public CompletableFuture<Channel> listen(
            Address address, ReplicaDriver newReplica, PeerMessageHandler newHandler) {
        replica = newReplica;
        handler = newHandler;
        return endpoints.listen(address, InboundListener::new);
    }

    @Override
    public void updateMembership(Membership membership) {
        for (Member member : membership.members()) {
            if (!member.id().equals(self)) {
                peers.computeIfAbsent(member.id(), id -> new Peer(member.address()));
            }
        }
        peers.entrySet()
                .removeIf(
                        peer -> {
                            boolean removed = membership.member(peer.getKey()).isEmpty();
                            if (removed && peer.getValue().connection != null) {
                                peer.getValue().connection.close();
                            }
                            return removed;
                        });
    }

    @Override
    public boolean send(String to, Frame frame) {
        Peer peer = peers.get(to);
        FrameConnection connection = peer == null ? inboundConnections.get(to) : peer.connection;
        return connection != null && connection.send(frame);
    }

    /**
     * Sends a frame to every other control.
     *
     * @param frame the frame
     */
    public void broadcast(Frame frame) {
        peers.keySet().forEach(id -> send(id, frame));
    }

    /** Connects to the controls that are not connected. */
    public void connectMissing() {
        peers.forEach(this::connectIfMissing);
    }

    /**
     * Sends heartbeats that keep the connections to the other controls alive.
     *
     * @param nowMillis current time
     */
    public void sendHeartbeats(long nowMillis) {
        Frame heartbeat = Frame.heartbeat(new Heartbeat(nowMillis));
        broadcast(heartbeat);
    }

    /**
     * Submits a command to the leader, which may be this control.
     *
     * @param command the command
     * @param nowMillis current time
     * @return completes with the result, at the latest after a timeout
     */
    public CompletableFuture<SubmitResult> submit(MeshCommand command, long nowMillis) {
        return submitToLeader(toEditIfPossible(command), nowMillis);
    }

    /** Converts a submission that is based on the document known here to an edit of it. */
    private MeshCommand toEditIfPossible(MeshCommand command) {
        MeshConfiguration current = replica.configuration();
        if (!(command instanceof MeshCommand.SubmitDocument submission)
                || submission.basedOn() != current.documentVersion()) {
            return command;
        }
        return new MeshCommand.EditDocument(
                submission.operator(),
                submission.key(),
                submission.basedOn(),
                DocumentEdit.diff(current.documentText(), submission.text()),
                submission.atMillis());
    }

    private CompletableFuture<SubmitResult> submitToLeader(MeshCommand command, long nowMillis) {
        CompletableFuture<SubmitResult> result =
                replica.isLeader()
                        ? replica.propose(command, nowMillis)
                        : forward(replica.leader(), command);
        return result.completeOnTimeout(
                new SubmitResult.Unknown("it was not decided in time"),
                FORWARD_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private CompletableFuture<SubmitResult> forward(Optional<String> leader, MeshCommand command) {
        if (leader.isEmpty()) {
            return CompletableFuture.completedFuture(
                    new SubmitResult.NotRun("the controls have no leader now"));
        }
        long correlation = lastCorrelationId.incrementAndGet();
        CompletableFuture<SubmitResult> result = new CompletableFuture<>();
        forwards.put(correlation, result);
        result.whenComplete((done, failure) -> forwards.remove(correlation));
        Frame frame =
                Frame.submissionForward(
                        new SubmissionForward(correlation, ConfigurationCodec.toStruct(command)));
        if (!send(leader.get(), frame)) {
            result.complete(new SubmitResult.NotRun("the leader cannot be reached"));
        }
        return result;
    }

    /**
     * Sends a join request to a control; messages of the leader show that it was granted.
     *
     * @param address address of the control
     * @param request the request
     */
    void sendJoinRequest(Address address, JoinRequest request) {
        endpoints
                .connect(address, new JoinRequestListener(request))
                .whenComplete(
                        (channel, failure) -> {
                            if (failure != null) {
                                LOGGER.info("event=join_address_unreachable address={}", address);
                            }
                        });
    }

    private void connectIfMissing(String id, Peer peer) {
        if (peer.connection != null || peer.connecting) {
            return;
        }
        peer.connecting = true;
        endpoints
                .connect(peer.address, new OutboundListener(id, peer))
                .whenComplete((channel, failure) -> peer.connecting = false);
    }

    private void receiveRaftMessage(String from, Frame frame) throws MalformedFrameException {
        replica.receive(
                from, RaftCodec.toMessage(frame.getAgreement()), ProcessClock.monotonicMillis());
    }

    private final class OutboundListener implements FrameListener {
        private final String id;
        private final Peer peer;

        OutboundListener(String id, Peer peer) {
            this.id = id;
            this.peer = peer;
        }

        @Override
        public void opened(FrameConnection connection) {
            connection.send(hello(id));
            connection.send(AnnouncementCodec.toFrame(handler.knownAnnouncements()));
            connection.send(Frame.holdings(handler.ownLoad()));
            peer.connection = connection;
            LOGGER.info("event=control_connected control={}", id);
        }

        @Override
        public void received(FrameConnection connection, Frame frame)
                throws MalformedFrameException {
            if (frame.getSetField() == Frame._Fields.AGREEMENT) {
                receiveRaftMessage(id, frame);
            } else {
                LOGGER.trace("event=control_heartbeat_returned control={}", id);
            }
        }

        @Override
        public void closed(FrameConnection connection) {
            peer.connection = null;
            LOGGER.info("event=control_disconnected control={}", id);
        }
    }

    private final class InboundListener implements FrameListener {
        private String from = "";

        @Override
        public void opened(FrameConnection connection) {
            LOGGER.debug("event=control_connection_accepted remote={}", connection.remoteAddress());
        }

        @Override
        public void received(FrameConnection connection, Frame frame)
                throws MalformedFrameException {
            if (frame.getSetField() == Frame._Fields.CONTROL_HELLO) {
                receiveHello(connection, frame.getControlHello());
                return;
            }
            if (from.isEmpty()) {
                throw new MalformedFrameException("the first frame of a control must be its hello");
            }
            handle(connection, frame);
        }

        @Override
        public void closed(FrameConnection connection) {
            inboundConnections.remove(from, connection);
            LOGGER.debug("event=control_connection_closed control={}", from);
        }

        private void receiveHello(FrameConnection connection, ControlHello hello) {
            boolean joins = hello.getTo().isEmpty();
            if (!joins && !hello.getTo().equals(self)) {
                LOGGER.warn(
                        "event=control_hello_rejected from={} intended_for={} self={}",
                        hello.getId(),
                        hello.getTo(),
                        self);
                connection.close();
                return;
            }
            from = hello.getId();
            if (!joins) {
                inboundConnections.put(from, connection);
            }
            if (hello.isSharesSuspects()) {
                handler.addSharingControl(from);
            }
        }

        private void handle(FrameConnection connection, Frame frame)
                throws MalformedFrameException {
            switch (frame.getSetField()) {
                case AGREEMENT -> receiveRaftMessage(from, frame);
                case SUBMISSION_FORWARD -> proposeForwarded(frame.getSubmissionForward());
                case SUBMISSION_ANSWER -> completeForward(frame.getSubmissionAnswer());
                case ANNOUNCEMENTS ->
                        handler.receiveAnnouncements(
                                AnnouncementCodec.toAnnouncements(frame.getAnnouncements()));
                case EVIDENCE ->
                        handler.receiveEvidence(EvidenceCodec.toEvidence(frame.getEvidence()));
                case HOLDINGS -> handler.receiveHoldings(frame.getHoldings());
                case HEARTBEAT -> connection.send(frame);
                case JOIN_REQUEST -> handler.receiveJoinRequest(frame.getJoinRequest(), from);
                default -> handler.receive(frame, from);
            }
        }

        private void proposeForwarded(SubmissionForward forward) throws MalformedFrameException {
            MeshCommand command = ConfigurationCodec.toCommand(forward.getCommand());
            replica.propose(command, ProcessClock.monotonicMillis())
                    .thenAccept(result -> send(from, toFrame(forward.getCorrelation(), result)));
        }

        private void completeForward(SubmissionAnswer answer) throws MalformedFrameException {
            CompletableFuture<SubmitResult> result = forwards.get(answer.getCorrelation());
            if (result == null) {
                return;
            }
            if (answer.isSetOutcome()) {
                result.complete(
                        new SubmitResult.Decided(
                                ConfigurationCodec.toOutcome(answer.getOutcome())));
            } else if (answer.isNotRun()) {
                result.complete(new SubmitResult.NotRun(answer.getReason()));
            } else {
                result.complete(new SubmitResult.Unknown(answer.getReason()));
            }
        }
    }

    private final class JoinRequestListener implements FrameListener {
        private final JoinRequest request;

        JoinRequestListener(JoinRequest request) {
            this.request = request;
        }

        @Override
        public void opened(FrameConnection connection) {
            connection.send(hello(ANY_CONTROL));
            connection.sendAndClose(Frame.joinRequest(request));
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {
            LOGGER.trace("event=join_frame_ignored frame={}", frame.getSetField());
        }

        @Override
        public void closed(FrameConnection connection) {
            LOGGER.trace("event=join_connection_closed");
        }
    }

    private Frame hello(String to) {
        return Frame.controlHello(
                new ControlHello(self, to, operatorAddress.toString()).setSharesSuspects(true));
    }

    private static Frame toFrame(long correlation, SubmitResult result) {
        SubmissionAnswer reply = new SubmissionAnswer(correlation);
        switch (result) {
            case SubmitResult.Decided decided ->
                    reply.setOutcome(ConfigurationCodec.toStruct(decided.outcome()));
            case SubmitResult.NotRun notRun -> reply.setNotRun(true).setReason(notRun.reason());
            case SubmitResult.Unknown unknown -> reply.setNotRun(false).setReason(unknown.reason());
        }
        return Frame.submissionAnswer(reply);
    }
}
