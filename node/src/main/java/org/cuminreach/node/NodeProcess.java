package org.cuminreach.node;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import org.cuminreach.decisions.admission.StopSchedule;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.node.caller.CallChecks;
import org.cuminreach.node.caller.CallDeduplicator;
import org.cuminreach.node.caller.CallerHandler;
import org.cuminreach.node.caller.CallerMetricsHandler;
import org.cuminreach.node.caller.EvidenceRecorder;
import org.cuminreach.node.caller.KeyHomeTable;
import org.cuminreach.node.caller.TargetPermissions;
import org.cuminreach.node.control.ControlSession;
import org.cuminreach.node.http.HttpSender;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.peer.MeshView;
import org.cuminreach.node.poison.PoisonFilter;
import org.cuminreach.node.poison.PoisonGuard;
import org.cuminreach.node.quota.QuotaClient;
import org.cuminreach.node.quota.TenantServices;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.node.target.ColdSettings;
import org.cuminreach.node.target.InboundBodies;
import org.cuminreach.node.target.LocalTarget;
import org.cuminreach.node.target.TargetAdmissionHandler;
import org.cuminreach.node.target.TargetAnnouncer;
import org.cuminreach.node.target.TargetClient;
import org.cuminreach.node.target.TargetMetrics;
import org.cuminreach.node.tenant.KeyFreshness;
import org.cuminreach.node.tenant.NodeClocks;
import org.cuminreach.node.tenant.TenantAuthenticator;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.ProcessorTime;
import org.cuminreach.runtime.RepeatedTask;
import org.cuminreach.runtime.administration.AdministrationHandler;
import org.cuminreach.runtime.administration.ProcessLoad;
import org.cuminreach.runtime.administration.Readiness;
import org.cuminreach.runtime.http.BodyGate;
import org.cuminreach.runtime.http.HttpHandler;
import org.cuminreach.runtime.http.HttpServer;
import org.cuminreach.runtime.http.LinkUse;
import org.cuminreach.runtime.log.LogSetup;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.frame.FrameEndpoints;
import org.cuminreach.wire.frame.TrafficCounter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Creates the components of a node, connects them, and runs their timers. */
public final class NodeProcess {
    private static final Logger LOGGER = LoggerFactory.getLogger(NodeProcess.class);
    private static final int EVENT_LOOP_THREADS = 1;
    private static final long CONTROL_SILENCE_TIMEOUT_MILLIS = 1_800;
    private static final long SESSION_TIMER_INTERVAL_MILLIS = 400;
    private static final long ADMISSION_TIMER_INTERVAL_MILLIS = 50;

    /** Time within which other nodes receive the announcement that the target is gone. */
    private static final long ANNOUNCEMENT_PROPAGATION_MILLIS = 500;

    /** Time by which a stop may begin later than its signal was sent. */
    private static final long SIGNAL_LATENCY_MILLIS = 300;

    private static final long EVENT_LOOP_STOP_TIMEOUT_MILLIS = 3_000;

    private final NodeSettings settings;
    private final EventLoopGroup eventLoops = EventLoops.start(EVENT_LOOP_THREADS);

    /** The event loop itself, so that a timer hands no work from one thread to another. */
    private final ScheduledExecutorService timer = eventLoops.next();

    private final NodeTimers timers = NodeTimers.create(timer);
    private final TrafficCounter controlTraffic = TrafficCounter.zero();
    private final ConfigurationHolder configurationHolder = ConfigurationHolder.empty();
    private final MeshView meshView;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final EvidenceRecorder evidence = EvidenceRecorder.empty();
    private final LinkUse link;
    private final HttpSender httpSender;
    private final TargetClient targetClient;
    private final List<HttpServer> extraServers = new CopyOnWriteArrayList<>();
    private final NodeProtocolAdapter protocolAdapter;
    private final LocalTarget localTarget;
    private final KeyFreshness keyFreshness;
    private final QuotaClient quotas = QuotaClient.create(timer, registry);
    private final PoisonFilter poisonFilter = PoisonFilter.create();
    private final KeyHomeTable keyHomes = KeyHomeTable.empty();
    private final TargetAnnouncer announcer;
    private final TargetAdmissionHandler admissionHandler;
    private final ControlSession controlSession;
    private final CallDeduplicator deduplicator;
    private final ProcessLoad load = ProcessLoad.start(eventLoops, registry);
    private HttpServer callerServer;
    private HttpServer inboundServer;
    private HttpServer administrationServer;
    private volatile boolean stopping;
    private volatile StopSchedule stopSchedule = StopSchedule.none();

    private NodeProcess(NodeSettings settings, NodeProtocolAdapter protocolAdapter) {
        this.settings = settings;
        this.protocolAdapter = protocolAdapter;
        link = LinkUse.of(settings.link());
        httpSender = HttpSender.create(eventLoops, link, settings.inboundAddress().host());
        targetClient = TargetClient.create(eventLoops, httpSender.answerMemory());
        meshView = MeshView.empty(settings.loadBalancingPolicy());
        announcer = TargetAnnouncer.create(settings, ProcessClock.wallMillis());
        admissionHandler =
                TargetAdmissionHandler.create(
                        settings.name(),
                        announcer::target,
                        targetClient,
                        protocolAdapter.targetProtocol(),
                        TargetMetrics.register(registry),
                        new ColdSettings(
                                configurationHolder::activeConfiguration,
                                settings.dataCentre(),
                                settings.bounds().cold()));
        announcer.setColdMillis(
                () -> admissionHandler.coldTarget().coldMillis(ProcessClock.monotonicMillis()));
        keyFreshness =
                KeyFreshness.create(
                        configurationHolder,
                        settings.bounds().revocationMillis(),
                        NodeClocks::read);
        controlSession =
                ControlSession.create(
                        settings,
                        configurationHolder,
                        keyFreshness,
                        meshView,
                        evidence,
                        announcer,
                        FrameEndpoints.create(
                                        eventLoops, controlTraffic, CONTROL_SILENCE_TIMEOUT_MILLIS)
                                .withListenerWrapper(
                                        listener -> poisonFilter.wrap(quotas.wrap(listener))),
                        timer,
                        new Random());
        localTarget = LocalTarget.create(announcer, admissionHandler, controlSession::announce);
        admissionHandler.setEvacuationCheck(
                () -> configurationHolder.activeConfiguration().isEvacuated(settings.dataCentre()));
        admissionHandler.setLeavingListener(
                instance -> localTarget.recordLeaving(instance, ProcessClock.monotonicMillis()));
        admissionHandler.setColdListener(controlSession::announce);
        deduplicator =
                CallDeduplicator.create(
                        settings.name(), controlSession::isWelcomed, keyHomes, httpSender);
        meshView.setColdRates(
                service ->
                        configurationHolder
                                .activeConfiguration()
                                .document()
                                .service(service)
                                .map(known -> known.coldStart().callsPerSecond())
                                .orElse(0.0));
        meshView.setChangeListener(changes -> keyHomes.apply(changes, ProcessClock.wallMillis()));
    }

    /**
     * Starts a node and returns once it listens on all its addresses.
     *
     * @param settings settings of the node
     * @return the running node
     */
    public static NodeProcess start(NodeSettings settings) {
        return start(settings, NodeProtocolAdapter.passThrough());
    }

    /**
     * Starts a node whose callers and targets use their own protocol.
     *
     * @param settings settings of the node
     * @param protocolAdapter translates between their protocol and the mesh's
     * @return the running node
     */
    public static NodeProcess start(NodeSettings settings, NodeProtocolAdapter protocolAdapter) {
        NodeProcess process = new NodeProcess(settings, protocolAdapter);
        process.listen();
        process.controlSession.connect();
        process.startTimers();
        LOGGER.info("event=node_started name={}", settings.name());
        return process;
    }

    /**
     * Stops the node gracefully: first the target is announced as gone, then calls in progress
     * complete.
     *
     * @throws InterruptedException when interrupted while waiting
     */
    public void stop() throws InterruptedException {
        stopping = true;
        long startedMillis = ProcessClock.monotonicMillis();
        localTarget.stop();
        controlSession.stop();
        LOGGER.info("event=node_stopping running={}", admissionHandler.running());
        long delayMillis =
                Math.min(settings.shutdownDelayMillis(), settings.shutdownTimeoutMillis());
        long endMillis = startedMillis + settings.shutdownTimeoutMillis();
        stopSchedule =
                StopSchedule.of(
                        startedMillis + Math.max(0, delayMillis - SIGNAL_LATENCY_MILLIS),
                        endMillis);
        admissionHandler.drain(
                startedMillis + Math.min(delayMillis, ANNOUNCEMENT_PROPAGATION_MILLIS));
        ServerRetirement retirement = new ServerRetirement(eventLoops, callerServer, inboundServer);
        retirement.run(delayMillis, endMillis);
        LOGGER.info(
                "event=node_stopped aborted={} processor_ms={} highest_lag_ms={}",
                retirement.inProgress(),
                ProcessorTime.usedMillis(),
                load.highestLagMillis());
        close();
    }

    private void close() {
        timers.stop();
        callerServer.close();
        inboundServer.close();
        extraServers.forEach(HttpServer::close);
        targetClient.closeIdle();
        administrationServer.close();
        try {
            httpSender.close();
        } catch (IOException closeFailure) {
            LOGGER.debug("event=http_sender_close_failed", closeFailure);
        }
        EventLoops.stop(eventLoops);
        eventLoops.terminationFuture().awaitUninterruptibly(EVENT_LOOP_STOP_TIMEOUT_MILLIS);
    }

    private void listen() {
        CallerHandler callerHandler =
                CallerHandler.create(
                        TargetPermissions.create(
                                settings.dataCentre(),
                                settings.bounds().regions(),
                                configurationHolder,
                                meshView),
                        settings.callerAddress().host(),
                        configurationHolder,
                        meshView,
                        httpSender,
                        evidence,
                        deduplicator,
                        new CallChecks(
                                new TenantServices(
                                        TenantAuthenticator.create(keyFreshness), quotas),
                                poisonFilter,
                                () -> stopSchedule),
                        timer);
        HttpHandler targetHandler =
                PoisonGuard.create(
                        poisonFilter, settings.name(), admissionHandler, this::hasTargetEnded);
        HttpHandler inboundHandler =
                call ->
                        call.headers().contains(MeshHeaders.KEY_HOME)
                                ? callerHandler.handleAsKeyHome(call)
                                : targetHandler.handle(call);
        HttpHandler handlerWithMetrics =
                protocolAdapter.adaptCallerHandler(
                        CallerMetricsHandler.of(callerHandler, registry));
        NodeMetrics.register(
                registry,
                configurationHolder,
                meshView,
                admissionHandler,
                keyFreshness,
                poisonFilter,
                controlTraffic);
        callerServer = listen(settings.callerAddress(), handlerWithMetrics, BodyGate.open());
        inboundServer =
                listen(
                        settings.inboundAddress(),
                        inboundHandler,
                        InboundBodies.create(admissionHandler, settings.link()));
        administrationServer =
                HttpServer.listen(
                                settings.administrationAddress(),
                                eventLoops,
                                AdministrationHandler.create(
                                        registry, this::readiness, this::statusJson))
                        .join();
    }

    private HttpServer listen(Address address, HttpHandler handler, BodyGate gate) {
        return HttpServer.listen(address, eventLoops, handler, gate, link).join();
    }

    private CompletableFuture<Boolean> hasTargetEnded() {
        return announcer
                .target()
                .map(target -> targetClient.refusesConnections(target.address()))
                .orElse(CompletableFuture.completedFuture(false));
    }

    /**
     * Listens on an additional address until the node stops.
     *
     * @param address the address
     * @param handler handles the calls to it
     */
    public void serve(Address address, HttpHandler handler) {
        extraServers.add(HttpServer.listen(address, eventLoops, handler).join());
    }

    /**
     * Returns the target next to the node.
     *
     * @return the target, which receives its heartbeats
     */
    public LocalTarget localTarget() {
        return localTarget;
    }

    /**
     * Tells whether the node is ready to serve callers.
     *
     * @return whether it has a configuration and is not stopping
     */
    public boolean isReady() {
        return readiness().ready();
    }

    /**
     * Replaces the configured addresses of the control processes.
     *
     * @param controls the new addresses; an empty list changes nothing
     */
    public void updateControlAddresses(List<Address> controls) {
        controlSession.updateControlAddresses(controls);
    }

    private void startTimers() {
        timers.repeat(
                SESSION_TIMER_INTERVAL_MILLIS,
                RepeatedTask.of(
                        "control_session", () -> controlSession.onTimer(ProcessClock.wallMillis())),
                RepeatedTask.of(
                        "deduplication", () -> deduplicator.onTimer(ProcessClock.wallMillis())),
                RepeatedTask.of("log", LogSetup::reportDroppedLines));
        timers.repeat(
                ADMISSION_TIMER_INTERVAL_MILLIS,
                RepeatedTask.of(
                        "admission",
                        () -> admissionHandler.onTimer(ProcessClock.monotonicMillis())),
                RepeatedTask.of("quotas", () -> quotas.onTimer(ProcessClock.monotonicMillis())),
                RepeatedTask.of(
                        "suspects", () -> poisonFilter.onTimer(ProcessClock.monotonicMillis())));
    }

    private Readiness readiness() {
        if (stopping) {
            return new Readiness(false, "stopping");
        }
        boolean ready = configurationHolder.activeConfiguration().version() > 0;
        return new Readiness(ready, ready ? "holds a configuration" : "no configuration yet");
    }

    private String statusJson() {
        return """
                {"node": "%s", "configuration": %d, "welcomed": %b, "readyTargets": %d, \
                "running": %d, "waiting": %d, "controlSentBytes": %d, "controlReceivedBytes": %d}
                """
                .formatted(
                        settings.name(),
                        configurationHolder.activeConfiguration().version(),
                        controlSession.isWelcomed(),
                        meshView.readyCount(),
                        admissionHandler.running(),
                        admissionHandler.waiting(),
                        controlTraffic.sentBytes(),
                        controlTraffic.receivedBytes());
    }
}
