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
 * The links to the other controls. Each control dials every other and sends over the connections it
 * dialled; a receiver accepts only what is meant for its own identity. A control that does not know
 * the members yet answers the leader over the connection that the leader dialled.
 */
public final class PeerLinks implements PeerNetwork {
    private static final Logger LOGGER = LoggerFactory.getLogger(PeerLinks.class);

    /** Stands in a greeting for whichever control is met at the address. */
    private static final String ANY_CONTROL = "";

    private static final long FORWARD_TIMEOUT_MILLIS = 5_000;

    /** A dialled connection to one control. */
    private static final class Link {
        private final Address address;
        private volatile FrameConnection connection;
        private volatile boolean dialling;

        Link(Address address) {
            this.address = address;
        }
    }

    private final String self;
    private final Address operatorAddress;
    private final FrameEndpoints endpoints;
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final Map<String, FrameConnection> dialledBy = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<SubmitResult>> forwarded = new ConcurrentHashMap<>();
    private final AtomicLong lastCorrelation = new AtomicLong();
    private volatile ReplicaDriver replica;
    private volatile PeerEvents events;

    private PeerLinks(String self, Address operatorAddress, FrameEndpoints endpoints) {
        this.self = self;
        this.operatorAddress = operatorAddress;
        this.endpoints = endpoints;
    }

    /**
     * Returns links that are not yet open.
     *
     * @param self identity of this control
     * @param operatorAddress where operators reach this control
     * @param endpoints opens connections
     * @return the links
     */
    public static PeerLinks create(String self, Address operatorAddress, FrameEndpoints endpoints) {
        return new PeerLinks(self, operatorAddress, endpoints);
    }

    /**
     * Starts to listen for other controls.
     *
     * @param address where to listen
     * @param newReplica the replica that their messages go to
     * @param newEvents hears what else they say
     * @return completes when listening
     */
    public CompletableFuture<Channel> listen(
            Address address, ReplicaDriver newReplica, PeerEvents newEvents) {
        replica = newReplica;
        events = newEvents;
        return endpoints.listen(address, Incoming::new);
    }

    @Override
    public void follow(Membership membership) {
        for (Member member : membership.members()) {
            if (!member.id().equals(self)) {
                links.computeIfAbsent(member.id(), id -> new Link(member.address()));
            }
        }
        links.entrySet()
                .removeIf(
                        link -> {
                            boolean removed = membership.member(link.getKey()).isEmpty();
                            if (removed && link.getValue().connection != null) {
                                link.getValue().connection.close();
                            }
                            return removed;
                        });
    }

    @Override
    public boolean send(String to, Frame frame) {
        Link link = links.get(to);
        FrameConnection connection = link == null ? dialledBy.get(to) : link.connection;
        return connection != null && connection.send(frame);
    }

    /**
     * Sends a frame to every other control.
     *
     * @param frame the frame
     */
    public void broadcast(Frame frame) {
        links.keySet().forEach(id -> send(id, frame));
    }

    /** Dials the controls that are not connected. */
    public void dialLost() {
        links.forEach(this::dialIfLost);
    }

    /**
     * Keeps the connections to the other controls alive.
     *
     * @param nowMillis present time
     */
    public void tick(long nowMillis) {
        Frame heartbeat = Frame.heartbeat(new Heartbeat(nowMillis));
        broadcast(heartbeat);
    }

    /**
     * Hands a command to the leader, wherever it is.
     *
     * @param command the command
     * @param nowMillis present time
     * @return completes with what came of it, within a bounded time
     */
    public CompletableFuture<SubmitResult> submit(MeshCommand command, long nowMillis) {
        return submitWhole(shortened(command), nowMillis);
    }

    /** Turns a submission on top of the document known here into an edit of it. */
    private MeshCommand shortened(MeshCommand command) {
        MeshConfiguration known = replica.configuration();
        if (!(command instanceof MeshCommand.SubmitDocument submission)
                || submission.basedOn() != known.documentVersion()) {
            return command;
        }
        return new MeshCommand.EditDocument(
                submission.operator(),
                submission.key(),
                submission.basedOn(),
                DocumentEdit.between(known.documentText(), submission.text()),
                submission.atMillis());
    }

    private CompletableFuture<SubmitResult> submitWhole(MeshCommand command, long nowMillis) {
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
        long correlation = lastCorrelation.incrementAndGet();
        CompletableFuture<SubmitResult> result = new CompletableFuture<>();
        forwarded.put(correlation, result);
        result.whenComplete((done, failure) -> forwarded.remove(correlation));
        Frame frame =
                Frame.submissionForward(
                        new SubmissionForward(correlation, ConfigurationCodec.toStruct(command)));
        if (!send(leader.get(), frame)) {
            result.complete(new SubmitResult.NotRun("the leader cannot be reached"));
        }
        return result;
    }

    /**
     * Asks a control for admission; the leader's messages are the answer.
     *
     * @param contact where the control is reached
     * @param request the request
     */
    void askToJoin(Address contact, JoinRequest request) {
        endpoints
                .connect(contact, new Asking(request))
                .whenComplete(
                        (channel, failure) -> {
                            if (failure != null) {
                                LOGGER.info("event=contact_unreachable address={}", contact);
                            }
                        });
    }

    private void dialIfLost(String id, Link link) {
        if (link.connection != null || link.dialling) {
            return;
        }
        link.dialling = true;
        endpoints
                .connect(link.address, new Outgoing(id, link))
                .whenComplete((channel, failure) -> link.dialling = false);
    }

    private void receiveAgreement(String from, Frame frame) throws MalformedFrameException {
        replica.receive(
                from, RaftCodec.toMessage(frame.getAgreement()), ProcessClock.monotonicMillis());
    }

    /** Hears of a connection that this control dialled. */
    private final class Outgoing implements FrameListener {
        private final String id;
        private final Link link;

        Outgoing(String id, Link link) {
            this.id = id;
            this.link = link;
        }

        @Override
        public void opened(FrameConnection connection) {
            connection.send(
                    Frame.controlHello(new ControlHello(self, id, operatorAddress.toString())));
            connection.send(AnnouncementCodec.toFrame(events.ownAnnouncements()));
            connection.send(Frame.holdings(events.ownLoad()));
            link.connection = connection;
            LOGGER.info("event=control_connected control={}", id);
        }

        @Override
        public void received(FrameConnection connection, Frame frame)
                throws MalformedFrameException {
            if (frame.getSetField() == Frame._Fields.AGREEMENT) {
                receiveAgreement(id, frame);
            } else {
                LOGGER.trace("event=control_alive control={}", id);
            }
        }

        @Override
        public void closed(FrameConnection connection) {
            link.connection = null;
            LOGGER.info("event=control_disconnected control={}", id);
        }
    }

    /** Hears of a connection that another control dialled. */
    private final class Incoming implements FrameListener {
        private String from = "";

        @Override
        public void opened(FrameConnection connection) {
            LOGGER.debug("event=control_dialled remote={}", connection.remoteAddress());
        }

        @Override
        public void received(FrameConnection connection, Frame frame)
                throws MalformedFrameException {
            if (frame.getSetField() == Frame._Fields.CONTROL_HELLO) {
                greet(connection, frame.getControlHello());
                return;
            }
            if (from.isEmpty()) {
                throw new MalformedFrameException("a control must say hello first");
            }
            handle(connection, frame);
        }

        @Override
        public void closed(FrameConnection connection) {
            dialledBy.remove(from, connection);
            LOGGER.debug("event=control_gone control={}", from);
        }

        private void greet(FrameConnection connection, ControlHello hello) {
            boolean joins = hello.getTo().isEmpty();
            if (!joins && !hello.getTo().equals(self)) {
                LOGGER.warn(
                        "event=control_refused from={} meant_for={} self={}",
                        hello.getId(),
                        hello.getTo(),
                        self);
                connection.close();
                return;
            }
            from = hello.getId();
            if (!joins) {
                dialledBy.put(from, connection);
            }
        }

        private void handle(FrameConnection connection, Frame frame)
                throws MalformedFrameException {
            switch (frame.getSetField()) {
                case AGREEMENT -> receiveAgreement(from, frame);
                case SUBMISSION_FORWARD -> propose(frame.getSubmissionForward());
                case SUBMISSION_ANSWER -> answer(frame.getSubmissionAnswer());
                case ANNOUNCEMENTS ->
                        events.announced(
                                AnnouncementCodec.toAnnouncements(frame.getAnnouncements()));
                case EVIDENCE -> events.saw(EvidenceCodec.toEvidence(frame.getEvidence()));
                case HOLDINGS -> events.hold(frame.getHoldings());
                case HEARTBEAT -> connection.send(frame);
                case JOIN_REQUEST -> events.asksToJoin(frame.getJoinRequest(), from);
                default ->
                        throw new MalformedFrameException(
                                "no control sends " + frame.getSetField());
            }
        }

        private void propose(SubmissionForward forward) throws MalformedFrameException {
            MeshCommand command = ConfigurationCodec.toCommand(forward.getCommand());
            replica.propose(command, ProcessClock.monotonicMillis())
                    .thenAccept(result -> send(from, toFrame(forward.getCorrelation(), result)));
        }

        private void answer(SubmissionAnswer answer) throws MalformedFrameException {
            CompletableFuture<SubmitResult> waiting = forwarded.get(answer.getCorrelation());
            if (waiting == null) {
                return;
            }
            if (answer.isSetOutcome()) {
                waiting.complete(
                        new SubmitResult.Decided(
                                ConfigurationCodec.toOutcome(answer.getOutcome())));
            } else if (answer.isNotRun()) {
                waiting.complete(new SubmitResult.NotRun(answer.getReason()));
            } else {
                waiting.complete(new SubmitResult.Unknown(answer.getReason()));
            }
        }
    }

    /** A short connection that carries a request for admission. */
    private final class Asking implements FrameListener {
        private final JoinRequest request;

        Asking(JoinRequest request) {
            this.request = request;
        }

        @Override
        public void opened(FrameConnection connection) {
            connection.send(
                    Frame.controlHello(
                            new ControlHello(self, ANY_CONTROL, operatorAddress.toString())));
            connection.sendAndClose(Frame.joinRequest(request));
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {
            LOGGER.trace("event=contact_spoke frame={}", frame.getSetField());
        }

        @Override
        public void closed(FrameConnection connection) {
            LOGGER.trace("event=contact_closed");
        }
    }

    private static Frame toFrame(long correlation, SubmitResult result) {
        SubmissionAnswer answer = new SubmissionAnswer(correlation);
        switch (result) {
            case SubmitResult.Decided decided ->
                    answer.setOutcome(ConfigurationCodec.toStruct(decided.outcome()));
            case SubmitResult.NotRun notRun -> answer.setNotRun(true).setReason(notRun.reason());
            case SubmitResult.Unknown unknown ->
                    answer.setNotRun(false).setReason(unknown.reason());
        }
        return Frame.submissionAnswer(answer);
    }
}
