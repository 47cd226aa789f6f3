package org.cuminreach.control;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminreach.control.evacuation.EvacuationOrders;
import org.cuminreach.control.evacuation.EvacuationReporter;
import org.cuminreach.control.homes.HomeRegionReporter;
import org.cuminreach.control.node.NodeSession;
import org.cuminreach.control.node.NodeSessionManager;
import org.cuminreach.control.operator.OperatorGateway;
import org.cuminreach.control.operator.OperatorHandler;
import org.cuminreach.control.operator.OperatorView;
import org.cuminreach.control.operator.console.ConsoleHandler;
import org.cuminreach.control.poison.SuspectService;
import org.cuminreach.control.quota.QuotaMetrics;
import org.cuminreach.control.quota.QuotaService;
import org.cuminreach.control.replica.MembershipManager;
import org.cuminreach.control.replica.PeerConnections;
import org.cuminreach.control.replica.PeerMessageHandler;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.control.rollout.EvidenceForwarder;
import org.cuminreach.control.rollout.RolloutController;
import org.cuminreach.control.rollout.RolloutReporter;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.decisions.agreement.MembershipPolicy;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.administration.AdministrationHandler;
import org.cuminreach.runtime.administration.ProcessLoad;
import org.cuminreach.runtime.administration.Readiness;
import org.cuminreach.runtime.http.HttpHandler;
import org.cuminreach.runtime.http.HttpServer;
import org.cuminreach.runtime.log.LogSetup;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.frame.FrameEndpoints;
import org.cuminreach.wire.frame.FrameListener;
import org.cuminreach.wire.frame.TrafficCounter;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.HoldingBatch;
import org.cuminreach.wire.generated.JoinRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Creates the components of a control and runs their periodic work. */
public final class ControlProcess {
    private static final Logger LOGGER = LoggerFactory.getLogger(ControlProcess.class);
    private static final int EVENT_LOOP_THREADS = 2;
    private static final long IDLE_TIMEOUT_MILLIS = 3_000;
    private static final long NODE_UPDATE_INTERVAL_MILLIS = 100;
    private static final int MAX_NODE_PENDING_BYTES = 64 * 1024;
    private static final long REPLICA_INTERVAL_MILLIS = 40;
    private static final long QUOTA_INTERVAL_MILLIS = 20;
    private static final long QUOTA_CONFIRMATION_INTERVAL_MILLIS = 500;
    private static final long SUSPECT_INTERVAL_MILLIS = 50;
    private static final long SESSION_INTERVAL_MILLIS = 200;
    private static final long MEMBERSHIP_INTERVAL_MILLIS = 300;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

    /**
     * Short, since controls that start at the same time find each other not yet listening, and a
     * refused connection attempt is cheap.
     */
    private static final long CONNECT_INTERVAL_MILLIS = 100;

    /** Time for which a stopping control asks to leave; a removed follower is not told of it. */
    private static final long LEAVE_TIMEOUT_MILLIS = 500;

    private static final long LEAVE_RETRY_MILLIS = 50;
    private static final int EXIT_CODE_INTERNAL_ERROR = 70;

    private final ControlSettings settings;
    private final TrafficCounter nodeTraffic = TrafficCounter.zero();
    private final ReplicaDriver replica;
    private final PeerConnections peers;
    private final RolloutController rolloutController;
    private final RolloutReporter rolloutReporter;
    private final EvacuationReporter evacuationReporter;
    private final EvacuationOrders evacuations;
    private final EvidenceForwarder evidenceForwarder;
    private final NodeSessionManager sessions;
    private final QuotaService quotas;
    private final SuspectService suspects;
    private final OperatorView view;
    private final MembershipManager membership;
    private final List<HttpServer> extraServers = new CopyOnWriteArrayList<>();
    private final EventLoopGroup eventLoops = EventLoops.start(EVENT_LOOP_THREADS);
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);

    private ControlProcess(ControlSettings settings) throws IOException {
        this.settings = settings;
        DataFolder folder = DataFolder.open(settings.dataFolder());
        String identity = identity(folder);
        FrameEndpoints peerEndpoints =
                FrameEndpoints.create(eventLoops, TrafficCounter.zero(), IDLE_TIMEOUT_MILLIS);
        peers = PeerConnections.create(identity, settings.operatorAddress(), peerEndpoints);
        replica =
                ReplicaDriver.start(
                        identity,
                        folder,
                        peers,
                        new Random(),
                        ProcessClock.monotonicMillis(),
                        ControlProcess::halt);
        rolloutController = RolloutController.create(replica);
        rolloutReporter = RolloutReporter.create(replica.configuration());
        replica.addListener(rolloutReporter);
        evacuationReporter = EvacuationReporter.create(replica.configuration());
        replica.addListener(evacuationReporter);
        replica.addListener(HomeRegionReporter.create(settings.bounds().regions().values()));
        evidenceForwarder = EvidenceForwarder.create(replica, peers, rolloutController);
        sessions =
                NodeSessionManager.create(
                        settings.name(),
                        settings.dataCentre(),
                        settings.nodeAddress(),
                        replica,
                        peers,
                        evidenceForwarder::forward);
        membership =
                MembershipManager.create(
                        replica,
                        peers,
                        MembershipPolicy.create(settings.bounds().toleratedControlLosses()),
                        settings.replicaAddress(),
                        settings.controls().stream()
                                .map(ControlSettings.Peer::replicaAddress)
                                .toList(),
                        ProcessClock.monotonicMillis());
        evacuations =
                EvacuationOrders.create(
                        replica::configuration,
                        command -> peers.submit(command, ProcessClock.monotonicMillis()),
                        settings.bounds().regions().keySet(),
                        sessions::announcements);
        quotas =
                QuotaService.create(
                        replica,
                        peers,
                        settings.bounds().quota(),
                        new Random(),
                        ProcessClock.monotonicMillis());
        suspects = SuspectService.create(peers);
        view = OperatorView.create(settings.name(), replica, sessions, quotas);
    }

    /**
     * Starts a control and returns once it listens at all its addresses.
     *
     * @param settings settings of the control
     * @return the running control
     * @throws IOException if the data folder cannot be used
     */
    public static ControlProcess start(ControlSettings settings) throws IOException {
        ControlProcess process = new ControlProcess(settings);
        process.listen();
        process.startTimers();
        LOGGER.info(
                "event=control_started name={} identity={} version={}",
                settings.name(),
                process.replica.self(),
                process.replica.configuration().version());
        return process;
    }

    /** Stops the control. It leaves the group before, if there is a voter too many. */
    public void stop() {
        LOGGER.info("event=control_stopping name={} leads={}", settings.name(), replica.isLeader());
        if (settings.joins()) {
            leaveGroup(ProcessClock.monotonicMillis() + LEAVE_TIMEOUT_MILLIS);
        }
        timers.shutdownNow();
        extraServers.forEach(HttpServer::close);
        closeReplica();
        EventLoops.stop(eventLoops);
        LOGGER.info("event=control_stopped name={}", settings.name());
    }

    private void leaveGroup(long deadlineMillis) {
        try {
            while (membership.leavesAtStop() && ProcessClock.monotonicMillis() < deadlineMillis) {
                membership.requestLeave(ProcessClock.monotonicMillis());
                Thread.sleep(LEAVE_RETRY_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void closeReplica() {
        try {
            replica.close();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the identity stored on disk, or creates a new one. A control with a new identity
     * votes only after it has been admitted.
     */
    private String identity(DataFolder folder) throws IOException {
        var known = folder.identity();
        if (known.isPresent()) {
            return known.get();
        }
        String created = settings.name() + "-" + UUID.randomUUID().toString().substring(0, 8);
        folder.saveIdentity(created);
        return created;
    }

    private FrameListener listenerOfNode() {
        NodeSession session = sessions.newSession();
        return suspects.wrap(quotas.wrap(session), session::isWelcomed);
    }

    private void listen() {
        FrameEndpoints nodeEndpoints =
                FrameEndpoints.create(eventLoops, nodeTraffic, IDLE_TIMEOUT_MILLIS)
                        .withMaxWriteBufferBytes(MAX_NODE_PENDING_BYTES);
        peers.listen(settings.replicaAddress(), replica, new PeerMessageDispatcher()).join();
        nodeEndpoints.listen(settings.nodeAddress(), this::listenerOfNode).join();
        HttpServer.listen(
                        settings.operatorAddress(),
                        eventLoops,
                        OperatorHandler.create(
                                peers,
                                view,
                                evacuations,
                                ConsoleHandler.create(
                                        settings.name(), replica, peers, sessions, evacuations)))
                .join();
        PrometheusRegistry registry = new PrometheusRegistry();
        rolloutReporter.register(registry);
        QuotaMetrics.register(registry, quotas);
        evacuationReporter.register(registry);
        ControlMetrics.register(registry, replica, sessions, nodeTraffic);
        ProcessLoad.start(eventLoops, registry);
        HttpServer.listen(
                        settings.administrationAddress(),
                        eventLoops,
                        AdministrationHandler.create(registry, this::readiness, view::statusJson))
                .join();
    }

    private void startTimers() {
        scheduleEvery(QUOTA_INTERVAL_MILLIS, () -> quotas.onTimer(ProcessClock.monotonicMillis()));
        scheduleEvery(
                QUOTA_CONFIRMATION_INTERVAL_MILLIS,
                () -> quotas.confirmMembership(ProcessClock.monotonicMillis()));
        scheduleEvery(
                REPLICA_INTERVAL_MILLIS, () -> replica.onTimer(ProcessClock.monotonicMillis()));
        scheduleEvery(
                SUSPECT_INTERVAL_MILLIS, () -> suspects.onTimer(ProcessClock.monotonicMillis()));
        scheduleEvery(CONNECT_INTERVAL_MILLIS, peers::connectMissing);
        scheduleEvery(
                HEARTBEAT_INTERVAL_MILLIS,
                () -> peers.sendHeartbeats(ProcessClock.monotonicMillis()));
        scheduleEvery(NODE_UPDATE_INTERVAL_MILLIS, sessions::sendUpdates);
        scheduleEvery(SESSION_INTERVAL_MILLIS, LogSetup::reportDroppedLines);
        if (settings.joins()) {
            scheduleEvery(
                    MEMBERSHIP_INTERVAL_MILLIS,
                    () -> membership.onTimer(ProcessClock.monotonicMillis()));
        }
        scheduleEvery(
                SESSION_INTERVAL_MILLIS, () -> sessions.onTimer(ProcessClock.monotonicMillis()));
        scheduleEvery(
                SESSION_INTERVAL_MILLIS,
                () ->
                        rolloutController.onTimer(
                                ProcessClock.monotonicMillis(), ProcessClock.wallMillis()));
    }

    private void scheduleEvery(long millis, Runnable task) {
        timers.scheduleWithFixedDelay(() -> runOrHalt(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    private static void runOrHalt(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException failure) {
            halt(failure);
        }
    }

    /** Stops the process at once, after a broken invariant or a failed sync to disk. */
    private static void halt(Exception cause) {
        LOGGER.error("event=invariant_broken action=stop", cause);
        Runtime.getRuntime().halt(EXIT_CODE_INTERNAL_ERROR);
    }

    /**
     * Serves HTTP at an additional address until the control stops.
     *
     * @param address the address
     * @param handler handler of the calls
     */
    public void serve(Address address, HttpHandler handler) {
        extraServers.add(HttpServer.listen(address, eventLoops, handler).join());
    }

    /**
     * Returns the operations for operators, for use by additional protocols.
     *
     * @return the gateway
     */
    public OperatorGateway operatorGateway() {
        return OperatorGateway.create(replica, peers, sessions::announcements, evacuations);
    }

    /**
     * Sets the addresses at which this control looks for other controls.
     *
     * @param addresses addresses at which other controls may be reached
     */
    public void setControlAddresses(List<Address> addresses) {
        membership.setControlAddresses(addresses);
    }

    private Readiness readiness() {
        boolean ready = replica.hasQuorum(ProcessClock.monotonicMillis());
        return new Readiness(ready, ready ? "in contact with a quorum" : "no quorum");
    }

    /** Passes messages of other controls to the node sessions, the rollouts and the membership. */
    private final class PeerMessageDispatcher implements PeerMessageHandler {
        @Override
        public List<Announcement> knownAnnouncements() {
            return sessions.announcements();
        }

        @Override
        public HoldingBatch ownLoad() {
            return sessions.ownLoad();
        }

        @Override
        public void receiveAnnouncements(List<Announcement> announcements) {
            sessions.mergeAnnouncements(announcements);
        }

        @Override
        public void receiveEvidence(List<Evidence> evidence) {
            rolloutController.add(evidence);
        }

        @Override
        public void receiveJoinRequest(JoinRequest request, String from) {
            membership.receiveJoinRequest(request, from, ProcessClock.monotonicMillis());
        }

        @Override
        public void receiveHoldings(HoldingBatch batch) {
            sessions.mergeHoldings(batch);
        }

        @Override
        public void addSharingControl(String control) {
            suspects.addSharingControl(control);
        }

        @Override
        public void receive(Frame frame, String from) throws MalformedFrameException {
            switch (frame.getSetField()) {
                case QUOTA_REQUEST, QUOTA_GRANT -> quotas.receiveFromControl(frame, from);
                case SUSPECTS ->
                        suspects.receiveFromControl(
                                frame.getSuspects(), ProcessClock.monotonicMillis());
                default ->
                        throw new MalformedFrameException(
                                "unexpected frame from a control: " + frame.getSetField());
            }
        }
    }
}
