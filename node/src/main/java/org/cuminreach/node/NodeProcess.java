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
import org.cuminreach.node.target.TargetAnnouncer;
import org.cuminreach.node.target.TargetClient;
import org.cuminreach.node.target.TargetGuard;
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
    private static final long SILENCE_MILLIS = 1_800;
    private static final long SESSION_TICK_MILLIS = 400;
    private static final long GUARD_TICK_MILLIS = 50;
    private static final long STOP_POLL_MILLIS = 20;
    private static final long QUIET_MILLIS = 300;

    /** Time within which the other nodes hear that this one's target is gone, in milliseconds. */
    private static final long ANNOUNCED_MILLIS = 500;

    /**
     * Time for which connections are ended one by one before no more are taken, in milliseconds.
     */
    private static final long RETIRE_MILLIS = 500;

    /** Time for which kept connections may still bring calls, in milliseconds. */
    private static final long LAST_CALLS_MILLIS = 200;

    private static final long LONGEST_CLOSE_MILLIS = 3_000;

    private final NodeSettings settings;
    private final EventLoopGroup eventLoops = EventLoops.start(EVENT_LOOP_THREADS);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final TrafficCounter controlTraffic = TrafficCounter.zero();
    private final ConfigurationHolder holder = ConfigurationHolder.empty();
    private final MeshView view;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final EvidenceLog evidence = EvidenceLog.empty();
    private final HttpSender sender = HttpSender.create(eventLoops);
    private final TargetClient targetClient = TargetClient.create(eventLoops);
    private final List<HttpServer> extraServers = new CopyOnWriteArrayList<>();
    private final NodeDialect dialect;
    private final LocalTarget localTarget;
    private final KeyHomeTable keyHomes = KeyHomeTable.empty();
    private final TargetAnnouncer announcer;
    private final TargetGuard guard;
    private final ControlSession session;
    private final KeyedCalls keyed;
    private HttpServer callers;
    private HttpServer inbound;
    private HttpServer administration;
    private volatile boolean stopping;

    private NodeProcess(NodeSettings settings, NodeDialect dialect) {
        this.settings = settings;
        this.dialect = dialect;
        view = MeshView.empty(settings.placement());
        announcer = TargetAnnouncer.create(settings, ProcessClock.wallMillis());
        guard =
                TargetGuard.create(
                        settings.name(),
                        announcer::target,
                        targetClient,
                        dialect.targets(),
                        TargetMetrics.register(registry));
        session =
                ControlSession.create(
                        settings,
                        holder,
                        view,
                        evidence,
                        announcer,
                        FrameEndpoints.create(eventLoops, controlTraffic, SILENCE_MILLIS),
                        timer,
                        new Random());
        localTarget = LocalTarget.create(announcer, guard, session::announce);
        keyed = KeyedCalls.create(settings.name(), session::isWelcomed, keyHomes, sender);
        view.onNews(news -> keyHomes.take(news, ProcessClock.wallMillis()));
    }

    /**
     * Starts a node and returns once all its addresses listen.
     *
     * @param settings its settings
     * @return the running node
     */
    public static NodeProcess start(NodeSettings settings) {
        return start(settings, NodeDialect.ofMesh());
    }

    /**
     * Starts a node for callers and targets that speak in their own way.
     *
     * @param settings its settings
     * @param dialect how they speak
     * @return the running node
     */
    public static NodeProcess start(NodeSettings settings, NodeDialect dialect) {
        NodeProcess process = new NodeProcess(settings, dialect);
        process.listen();
        process.session.dial();
        process.startTicking();
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
        session.stop();
        LOGGER.info("event=node_stopping running={}", guard.running());
        long leaveMillis = Math.min(settings.leaveMillis(), settings.stopMillis());
        guard.drain(startedMillis + Math.min(leaveMillis, ANNOUNCED_MILLIS));
        Thread.sleep(Math.max(0, leaveMillis - RETIRE_MILLIS));
        callers.drainConnections();
        inbound.drainConnections();
        Thread.sleep(Math.min(leaveMillis, RETIRE_MILLIS));
        callers.stopAccepting();
        inbound.stopAccepting();
        Thread.sleep(Math.min(leaveMillis, LAST_CALLS_MILLIS));
        callers.refuseCalls();
        awaitQuiet(startedMillis + settings.stopMillis());
        LOGGER.info("event=node_stopped cut={}", inProgress());
        close();
    }

    /** Waits until no request runs and none has come for a while on connections still open. */
    private void awaitQuiet(long deadlineMillis) throws InterruptedException {
        long received = -1;
        long quietSinceMillis = 0;
        while (ProcessClock.monotonicMillis() < deadlineMillis) {
            long nowMillis = ProcessClock.monotonicMillis();
            long present = callers.receivedRequests() + inbound.receivedRequests();
            if (inProgress() > 0 || present != received) {
                received = present;
                quietSinceMillis = nowMillis;
            } else if (nowMillis - quietSinceMillis >= QUIET_MILLIS) {
                return;
            }
            Thread.sleep(STOP_POLL_MILLIS);
        }
    }

    private void close() {
        timer.shutdownNow();
        callers.close();
        inbound.close();
        extraServers.forEach(HttpServer::close);
        targetClient.closeIdle();
        administration.close();
        try {
            sender.close();
        } catch (IOException unclosed) {
            LOGGER.debug("event=sender_unclosed", unclosed);
        }
        EventLoops.stop(eventLoops);
        eventLoops.terminationFuture().awaitUninterruptibly(LONGEST_CLOSE_MILLIS);
    }

    private int inProgress() {
        return callers.requestsInProgress() + inbound.requestsInProgress();
    }

    private void listen() {
        CallerHandler callerHandler =
                CallerHandler.create(
                        settings.dataCentre(),
                        settings.callerAddress().host(),
                        holder,
                        view,
                        sender,
                        evidence,
                        keyed,
                        timer);
        HttpHandler inboundHandler =
                call ->
                        call.headers().contains(MeshHeaders.KEY_HOME)
                                ? callerHandler.handleAsKeyHome(call)
                                : guard.handle(call);
        HttpHandler counting = dialect.callers(CountingHandler.of(callerHandler, registry));
        callers = HttpServer.listen(settings.callerAddress(), eventLoops, counting).join();
        inbound = HttpServer.listen(settings.inboundAddress(), eventLoops, inboundHandler).join();
        administration =
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
    public void followControls(List<Address> controls) {
        session.follow(controls);
    }

    private void startTicking() {
        timer.scheduleWithFixedDelay(
                () -> {
                    session.tick(ProcessClock.wallMillis());
                    keyed.tick(ProcessClock.wallMillis());
                    LogSetup.reportDroppedLines();
                },
                SESSION_TICK_MILLIS,
                SESSION_TICK_MILLIS,
                TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(
                () -> guard.tick(ProcessClock.monotonicMillis()),
                GUARD_TICK_MILLIS,
                GUARD_TICK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private Readiness readiness() {
        if (stopping) {
            return new Readiness(false, "stopping");
        }
        boolean ready = holder.inForce().version() > 0;
        return new Readiness(ready, ready ? "holds a configuration" : "no configuration yet");
    }

    private String statusJson() {
        return """
                {"node": "%s", "configuration": %d, "welcomed": %b, "readyTargets": %d, \
                "running": %d, "waiting": %d, "controlSentBytes": %d, "controlReceivedBytes": %d}
                """
                .formatted(
                        settings.name(),
                        holder.inForce().version(),
                        session.isWelcomed(),
                        view.readyCount(),
                        guard.running(),
                        guard.waiting(),
                        controlTraffic.sentBytes(),
                        controlTraffic.receivedBytes());
    }

    private PrometheusRegistry metrics() {
        Gauges.register(
                registry,
                "cuminreach_node_configuration_version",
                "Configuration version in force",
                () -> holder.inForce().version());
        Gauges.register(
                registry, "cuminreach_node_ready_targets", "Targets seen", view::readyCount);
        Gauges.register(
                registry, "cuminreach_node_running_calls", "Calls at the target", guard::running);
        Gauges.register(
                registry, "cuminreach_node_waiting_calls", "Calls that wait", guard::waiting);
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
