package org.cuminreach.node;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.node.caller.CallerHandler;
import org.cuminreach.node.caller.CountingHandler;
import org.cuminreach.node.caller.EvidenceLog;
import org.cuminreach.node.caller.KeyHomeTable;
import org.cuminreach.node.caller.KeyedCalls;
import org.cuminreach.node.control.ControlSession;
import org.cuminreach.node.http.HttpSender;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.peer.MeshView;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.node.target.LocalTarget;
import org.cuminreach.node.target.TargetAdmissionHandler;
import org.cuminreach.node.target.TargetAnnouncer;
import org.cuminreach.node.target.TargetClient;
import org.cuminreach.node.target.TargetMetrics;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Puts the parts of a node together and lets time pass for them. */
public final class NodeProcess {
    private static final Logger LOGGER = LoggerFactory.getLogger(NodeProcess.class);
    private static final int EVENT_LOOP_THREADS = 1;
    private static final long CONTROL_SILENCE_TIMEOUT_MILLIS = 1_800;
    private static final long SESSION_TIMER_INTERVAL_MILLIS = 400;
    private static final long ADMISSION_TIMER_INTERVAL_MILLIS = 50;
    private static final long STOP_POLL_INTERVAL_MILLIS = 20;
    private static final long IDLE_BEFORE_STOP_MILLIS = 300;

    /** Time within which the other nodes hear that this one's target is gone, in milliseconds. */
    private static final long ANNOUNCEMENT_PROPAGATION_MILLIS = 500;

    /**
     * Time for which connections are ended one by one before no more are taken, in milliseconds.
     */
    private static final long CONNECTION_RETIREMENT_MILLIS = 500;

    /** Time for which kept connections may still bring calls, in milliseconds. */
    private static final long KEEP_ALIVE_GRACE_MILLIS = 200;

    private static final long EVENT_LOOP_STOP_TIMEOUT_MILLIS = 3_000;

    private final NodeSettings settings;
    private final EventLoopGroup eventLoops = EventLoops.start(EVENT_LOOP_THREADS);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final TrafficCounter controlTraffic = TrafficCounter.zero();
    private final ConfigurationHolder configurationHolder = ConfigurationHolder.empty();
    private final MeshView meshView;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final EvidenceLog evidence = EvidenceLog.empty();
    private final HttpSender httpSender = HttpSender.create(eventLoops);
    private final TargetClient targetClient = TargetClient.create(eventLoops);
    private final List<HttpServer> extraServers = new CopyOnWriteArrayList<>();
    private final NodeProtocolAdapter protocolAdapter;
    private final LocalTarget localTarget;
    private final KeyHomeTable keyHomes = KeyHomeTable.empty();
    private final TargetAnnouncer announcer;
    private final TargetAdmissionHandler admissionHandler;
    private final ControlSession controlSession;
    private final KeyedCalls keyedCalls;
    private HttpServer callerServer;
    private HttpServer inboundServer;
    private HttpServer administrationServer;
    private volatile boolean stopping;

    private NodeProcess(NodeSettings settings, NodeProtocolAdapter dialect) {
        this.settings = settings;
        this.protocolAdapter = dialect;
        meshView = MeshView.empty(settings.loadBalancingPolicy());
        announcer = TargetAnnouncer.create(settings, ProcessClock.wallMillis());
        admissionHandler =
                TargetAdmissionHandler.create(
                        settings.name(),
                        announcer::target,
                        targetClient,
                        dialect.targetProtocol(),
                        TargetMetrics.register(registry));
        controlSession =
                ControlSession.create(
                        settings,
                        configurationHolder,
                        meshView,
                        evidence,
                        announcer,
                        FrameEndpoints.create(
                                eventLoops, controlTraffic, CONTROL_SILENCE_TIMEOUT_MILLIS),
                        timer,
                        new Random());
        localTarget = LocalTarget.create(announcer, admissionHandler, controlSession::announce);
        keyedCalls =
                KeyedCalls.create(
                        settings.name(), controlSession::isWelcomed, keyHomes, httpSender);
        meshView.setChangeListener(news -> keyHomes.take(news, ProcessClock.wallMillis()));
    }

    /**
     * Starts a node and returns once all its addresses listen.
     *
     * @param settings its settings
     * @return the running node
     */
    public static NodeProcess start(NodeSettings settings) {
        return start(settings, NodeProtocolAdapter.passThrough());
    }

    /**
     * Starts a node for callers and targets that speak in their own way.
     *
     * @param settings its settings
     * @param dialect how they speak
     * @return the running node
     */
    public static NodeProcess start(NodeSettings settings, NodeProtocolAdapter dialect) {
        NodeProcess process = new NodeProcess(settings, dialect);
        process.listen();
        process.controlSession.connect();
        process.startTimers();
        LOGGER.info("event=node_started name={}", settings.name());
        return process;
    }

    /**
     * Stops the node gracefully: the lease is given up first, then running calls end.
     *
     * @throws InterruptedException when interrupted while waiting
     */
    public void stop() throws InterruptedException {
        stopping = true;
        long startedMillis = ProcessClock.monotonicMillis();
        localTarget.stop();
        controlSession.stop();
        LOGGER.info("event=node_stopping running={}", admissionHandler.running());
        long leaveMillis =
                Math.min(settings.shutdownDelayMillis(), settings.shutdownTimeoutMillis());
        admissionHandler.drain(
                startedMillis + Math.min(leaveMillis, ANNOUNCEMENT_PROPAGATION_MILLIS));
        Thread.sleep(Math.max(0, leaveMillis - CONNECTION_RETIREMENT_MILLIS));
        callerServer.retire();
        inboundServer.retire();
        Thread.sleep(Math.min(leaveMillis, CONNECTION_RETIREMENT_MILLIS));
        callerServer.beginClosing();
        inboundServer.beginClosing();
        Thread.sleep(Math.min(leaveMillis, KEEP_ALIVE_GRACE_MILLIS));
        callerServer.refuseCalls();
        awaitIdle(startedMillis + settings.shutdownTimeoutMillis());
        LOGGER.info("event=node_stopped cut={}", inProgress());
        close();
    }

    /** Waits until no request runs and none has come for a while on connections still open. */
    private void awaitIdle(long deadlineMillis) throws InterruptedException {
        long received = -1;
        long quietSinceMillis = 0;
        while (ProcessClock.monotonicMillis() < deadlineMillis) {
            long nowMillis = ProcessClock.monotonicMillis();
            long present = callerServer.received() + inboundServer.received();
            if (inProgress() > 0 || present != received) {
                received = present;
                quietSinceMillis = nowMillis;
            } else if (nowMillis - quietSinceMillis >= IDLE_BEFORE_STOP_MILLIS) {
                return;
            }
            Thread.sleep(STOP_POLL_INTERVAL_MILLIS);
        }
    }

    private void close() {
        timer.shutdownNow();
        callerServer.close();
        inboundServer.close();
        extraServers.forEach(HttpServer::close);
        targetClient.closeIdle();
        administrationServer.close();
        try {
            httpSender.close();
        } catch (IOException unclosed) {
            LOGGER.debug("event=sender_unclosed", unclosed);
        }
        EventLoops.stop(eventLoops);
        eventLoops.terminationFuture().awaitUninterruptibly(EVENT_LOOP_STOP_TIMEOUT_MILLIS);
    }

    private int inProgress() {
        return callerServer.inProgress() + inboundServer.inProgress();
    }

    private void listen() {
        CallerHandler callerHandler =
                CallerHandler.create(
                        settings.dataCentre(),
                        settings.callerAddress().host(),
                        configurationHolder,
                        meshView,
                        httpSender,
                        evidence,
                        keyedCalls,
                        timer);
        HttpHandler inboundHandler =
                call ->
                        call.headers().contains(MeshHeaders.KEY_HOME)
                                ? callerHandler.handleAsKeyHome(call)
                                : admissionHandler.handle(call);
        HttpHandler counting =
                protocolAdapter.adaptCallerHandler(CountingHandler.of(callerHandler, registry));
        callerServer = HttpServer.listen(settings.callerAddress(), eventLoops, counting).join();
        inboundServer =
                HttpServer.listen(settings.inboundAddress(), eventLoops, inboundHandler).join();
        administrationServer =
                HttpServer.listen(
                                settings.administrationAddress(),
                                eventLoops,
                                AdministrationHandler.of(
                                        metrics(), this::readiness, this::statusJson))
                        .join();
    }

    /**
     * Serves one more address until the node stops.
     *
     * @param address the address
     * @param handler answers the calls there
     */
    public void serve(Address address, HttpHandler handler) {
        extraServers.add(HttpServer.listen(address, eventLoops, handler).join());
    }

    /**
     * Returns the target beside the node.
     *
     * @return where it describes itself
     */
    public LocalTarget localTarget() {
        return localTarget;
    }

    /**
     * Tells whether callers are served well here.
     *
     * @return whether the node holds a configuration and does not stop
     */
    public boolean isReady() {
        return readiness().ready();
    }

    /**
     * Takes other addresses of controls.
     *
     * @param controls the addresses
     */
    public void updateControlAddresses(List<Address> controls) {
        controlSession.updateControlAddresses(controls);
    }

    private void startTimers() {
        timer.scheduleWithFixedDelay(
                () -> {
                    controlSession.onTimer(ProcessClock.wallMillis());
                    keyedCalls.tick(ProcessClock.wallMillis());
                    LogSetup.reportLeftOut();
                },
                SESSION_TIMER_INTERVAL_MILLIS,
                SESSION_TIMER_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(
                () -> admissionHandler.onTimer(ProcessClock.monotonicMillis()),
                ADMISSION_TIMER_INTERVAL_MILLIS,
                ADMISSION_TIMER_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private Readiness readiness() {
        if (stopping) {
            return new Readiness(false, "stopping");
        }
        boolean ready = configurationHolder.inForce().version() > 0;
        return new Readiness(ready, ready ? "holds a configuration" : "no configuration yet");
    }

    private String statusJson() {
        return """
                {"node": "%s", "configuration": %d, "welcomed": %b, "readyTargets": %d, \
                "running": %d, "waiting": %d, "controlSentBytes": %d, "controlReceivedBytes": %d}
                """
                .formatted(
                        settings.name(),
                        configurationHolder.inForce().version(),
                        controlSession.isWelcomed(),
                        meshView.readyCount(),
                        admissionHandler.running(),
                        admissionHandler.waiting(),
                        controlTraffic.sentBytes(),
                        controlTraffic.receivedBytes());
    }

    private PrometheusRegistry metrics() {
        Gauges.register(
                registry,
                "cuminreach_node_configuration_version",
                "Configuration version in force",
                () -> configurationHolder.inForce().version());
        Gauges.register(
                registry, "cuminreach_node_ready_targets", "Targets seen", meshView::readyCount);
        Gauges.register(
                registry,
                "cuminreach_node_running_calls",
                "Calls at the target",
                admissionHandler::running);
        Gauges.register(
                registry,
                "cuminreach_node_waiting_calls",
                "Calls that wait",
                admissionHandler::waiting);
        Gauges.register(
                registry,
                "cuminreach_node_control_sent_bytes",
                "Bytes sent to controls",
                controlTraffic::sentBytes);
        Gauges.register(
                registry,
                "cuminreach_node_control_received_bytes",
                "Bytes received from controls",
                controlTraffic::receivedBytes);
        return registry;
    }
}
