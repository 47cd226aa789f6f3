package org.cuminreach.control;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminreach.control.node.Convergence;
import org.cuminreach.control.node.MeshSessions;
import org.cuminreach.control.operator.OperatorGateway;
import org.cuminreach.control.operator.OperatorHandler;
import org.cuminreach.control.operator.OperatorView;
import org.cuminreach.control.operator.console.ConsoleHandler;
import org.cuminreach.control.replica.MemberKeeper;
import org.cuminreach.control.replica.PeerEvents;
import org.cuminreach.control.replica.PeerLinks;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.control.rollout.EvidenceCollector;
import org.cuminreach.control.rollout.RolloutConductor;
import org.cuminreach.control.rollout.RolloutReporter;
import org.cuminreach.control.storage.DataFolder;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.administration.AdministrationHandler;
import org.cuminreach.runtime.administration.Gauges;
import org.cuminreach.runtime.administration.Readiness;
import org.cuminreach.runtime.http.HttpHandler;
import org.cuminreach.runtime.http.HttpServer;
import org.cuminreach.runtime.log.LogSetup;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.frame.FrameEndpoints;
import org.cuminreach.wire.frame.TrafficCounter;
import org.cuminreach.wire.generated.HoldingBatch;
import org.cuminreach.wire.generated.JoinRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Puts the parts of a control together and lets time pass for them. */
public final class ControlProcess {
    private static final Logger LOGGER = LoggerFactory.getLogger(ControlProcess.class);
    private static final int EVENT_LOOP_THREADS = 2;
    private static final long SILENCE_MILLIS = 3_000;
    private static final long FLUSH_MILLIS = 100;
    private static final int NODE_PENDING_BYTES = 64 * 1024;
    private static final long REPLICA_TICK_MILLIS = 40;
    private static final long SESSION_TICK_MILLIS = 200;
    private static final long KEEPER_TICK_MILLIS = 300;
    private static final long LINK_TICK_MILLIS = 500;

    /** Controls that start together find each other not yet listening; a refused dial is cheap. */
    private static final long DIAL_TICK_MILLIS = 100;

    private static final int EXIT_CODE_BROKEN = 70;

    private final ControlSettings settings;
    private final TrafficCounter nodeTraffic = TrafficCounter.zero();
    private final ReplicaDriver replica;
    private final PeerLinks peers;
    private final RolloutConductor conductor;
    private final RolloutReporter rollouts;
    private final EvidenceCollector evidence;
    private final MeshSessions sessions;
    private final OperatorView view;
    private final MemberKeeper keeper;
    private final List<HttpServer> extraServers = new CopyOnWriteArrayList<>();
    private final EventLoopGroup eventLoops = EventLoops.start(EVENT_LOOP_THREADS);
    private final ScheduledExecutorService ticker = Executors.newScheduledThreadPool(2);

    private ControlProcess(ControlSettings settings) throws IOException {
        this.settings = settings;
        DataFolder folder = DataFolder.open(settings.dataFolder());
        String identity = identity(folder);
        FrameEndpoints peerEndpoints =
                FrameEndpoints.create(eventLoops, TrafficCounter.zero(), SILENCE_MILLIS);
        peers = PeerLinks.create(identity, settings.operatorAddress(), peerEndpoints);
        replica =
                ReplicaDriver.start(
                        identity,
                        folder,
                        peers,
                        new Random(),
                        ProcessClock.monotonicMillis(),
                        ControlProcess::halt);
        conductor = RolloutConductor.create(replica);
        rollouts = RolloutReporter.create(replica.configuration());
        replica.listen(rollouts);
        evidence = EvidenceCollector.create(replica, peers, conductor);
        sessions =
                MeshSessions.create(
                        settings.name(),
                        settings.dataCentre(),
                        settings.nodeAddress(),
                        replica,
                        peers,
                        evidence::collect);
        keeper =
                MemberKeeper.create(
                        replica,
                        peers,
                        settings.replicaAddress(),
                        settings.controls().stream()
                                .map(ControlSettings.Peer::replicaAddress)
                                .toList(),
                        ProcessClock.monotonicMillis());
        view = OperatorView.create(settings.name(), replica, sessions);
    }

    /**
     * Starts a control and returns once all its addresses listen.
     *
     * @param settings its settings
     * @return the running control
     * @throws IOException when its data folder cannot be used
     */
    public static ControlProcess start(ControlSettings settings) throws IOException {
        ControlProcess process = new ControlProcess(settings);
        process.listen();
        process.startTicking();
        LOGGER.info(
                "event=control_started name={} identity={} version={}",
                settings.name(),
                process.replica.self(),
                process.replica.configuration().version());
        return process;
    }

    /** Stops the control. */
    public void stop() {
        ticker.shutdownNow();
        extraServers.forEach(HttpServer::close);
        closeReplica();
        EventLoops.stop(eventLoops);
    }

    private void closeReplica() {
        try {
            replica.close();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * A control that finds no identity on its disk takes a new one and votes only once admitted.
     */
    private String identity(DataFolder folder) throws IOException {
        var known = folder.identity();
        if (known.isPresent()) {
            return known.get();
        }
        String fresh = settings.name() + "-" + UUID.randomUUID().toString().substring(0, 8);
        folder.saveIdentity(fresh);
        return fresh;
    }

    private void listen() {
        FrameEndpoints nodeEndpoints =
                FrameEndpoints.create(eventLoops, nodeTraffic, SILENCE_MILLIS)
                        .withMaxWriteBufferBytes(NODE_PENDING_BYTES);
        peers.listen(settings.replicaAddress(), replica, new Events()).join();
        nodeEndpoints.listen(settings.nodeAddress(), sessions::newSession).join();
        HttpServer.listen(
                        settings.operatorAddress(),
                        eventLoops,
                        OperatorHandler.create(
                                peers,
                                view,
                                ConsoleHandler.create(settings.name(), replica, peers, sessions)))
                .join();
        HttpServer.listen(
                        settings.administrationAddress(),
                        eventLoops,
                        AdministrationHandler.of(metrics(), this::readiness, view::statusJson))
                .join();
    }

    private void startTicking() {
        every(REPLICA_TICK_MILLIS, () -> replica.tick(ProcessClock.monotonicMillis()));
        every(DIAL_TICK_MILLIS, peers::dialLost);
        every(LINK_TICK_MILLIS, () -> peers.tick(ProcessClock.monotonicMillis()));
        every(FLUSH_MILLIS, sessions::flush);
        every(SESSION_TICK_MILLIS, LogSetup::reportDroppedLines);
        if (settings.joins()) {
            every(KEEPER_TICK_MILLIS, () -> keeper.tick(ProcessClock.monotonicMillis()));
        }
        every(SESSION_TICK_MILLIS, () -> sessions.tick(ProcessClock.monotonicMillis()));
        every(
                SESSION_TICK_MILLIS,
                () -> conductor.tick(ProcessClock.monotonicMillis(), ProcessClock.wallMillis()));
    }

    private void every(long millis, Runnable task) {
        ticker.scheduleWithFixedDelay(() -> guarded(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException broken) {
            halt(broken);
        }
    }

    /** Only a broken invariant, or a disk that does not sync, ends up here. */
    private static void halt(Exception broken) {
        LOGGER.error("event=invariant_broken action=stop", broken);
        Runtime.getRuntime().halt(EXIT_CODE_BROKEN);
    }

    /**
     * Serves one more address until the control stops.
     *
     * @param address the address
     * @param handler answers the calls there
     */
    public void serve(Address address, HttpHandler handler) {
        extraServers.add(HttpServer.listen(address, eventLoops, handler).join());
    }

    /**
     * Returns what operators can do, for a protocol of their own.
     *
     * @return the gateway
     */
    public OperatorGateway operators() {
        return OperatorGateway.create(replica, peers, sessions::announcements);
    }

    /**
     * Takes other contacts among the controls.
     *
     * @param addresses where other controls may be reached
     */
    public void followContacts(List<Address> addresses) {
        keeper.follow(addresses);
    }

    private Readiness readiness() {
        boolean ready = replica.hasQuorum(ProcessClock.monotonicMillis());
        return new Readiness(ready, ready ? "in contact with a quorum" : "no quorum");
    }

    private PrometheusRegistry metrics() {
        PrometheusRegistry registry = new PrometheusRegistry();
        rollouts.register(registry);
        Gauges.register(
                registry, "cuminreach_control_sessions", "Nodes here", sessions::sessionCount);
        Gauges.register(
                registry,
                "cuminreach_control_configuration_version",
                "Agreed configuration version known here",
                () -> replica.configuration().version());
        Gauges.register(
                registry,
                "cuminreach_control_leads",
                "1 on the leader",
                () -> replica.isLeader() ? 1 : 0);
        Gauges.register(
                registry,
                "cuminreach_control_node_sent_bytes",
                "Bytes sent to nodes",
                nodeTraffic::sentBytes);
        Gauges.register(
                registry,
                "cuminreach_control_node_received_bytes",
                "Bytes received from nodes",
                nodeTraffic::receivedBytes);
        Gauges.register(
                registry,
                "cuminreach_control_lagging_nodes",
                "Nodes that lack the agreed configuration",
                this::laggingNodes);
        Gauges.register(
                registry,
                "cuminreach_control_withheld_leases",
                "Targets kept as last known although their leases are over",
                sessions::withheldLeases);
        GaugeWithCallback.builder()
                .name("cuminreach_control_redirected_nodes")
                .help("Nodes sent away since the start, by reason")
                .labelNames("reason")
                .callback(
                        callback ->
                                sessions.redirects()
                                        .forEach((reason, count) -> callback.call(count, reason)))
                .register(registry);
        return registry;
    }

    private int laggingNodes() {
        Convergence convergence = sessions.convergence(replica.configuration().version(), 0);
        return convergence.nodes() - convergence.holding();
    }

    /** What other controls say goes to the sessions and the judge. */
    private final class Events implements PeerEvents {
        @Override
        public List<Announcement> ownAnnouncements() {
            return sessions.announcements();
        }

        @Override
        public HoldingBatch ownLoad() {
            return sessions.ownLoad();
        }

        @Override
        public void announced(List<Announcement> announcements) {
            sessions.mergeFromPeer(announcements);
        }

        @Override
        public void saw(List<Evidence> seen) {
            conductor.add(seen);
        }

        @Override
        public void asksToJoin(JoinRequest request, String from) {
            keeper.asked(request, from, ProcessClock.monotonicMillis());
        }

        @Override
        public void hold(HoldingBatch batch) {
            sessions.mergeHoldings(batch);
        }
    }
}
