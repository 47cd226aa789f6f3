package org.cuminreach.node.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cuminreach.decisions.configuration.ConfigurationDelta;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.configuration.OfferOutcome;
import org.cuminreach.decisions.distribution.ReconnectBackoff;
import org.cuminreach.decisions.distribution.RedirectPolicy;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.node.caller.EvidenceRecorder;
import org.cuminreach.node.peer.MeshView;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.node.target.TargetAnnouncer;
import org.cuminreach.node.tenant.KeyFreshness;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.settings.Address;
import org.cuminreach.settings.Fault;
import org.cuminreach.wire.AnnouncementCodec;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.DeltaCodec;
import org.cuminreach.wire.EvidenceCodec;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.frame.FrameConnection;
import org.cuminreach.wire.frame.FrameEndpoints;
import org.cuminreach.wire.frame.FrameListener;
import org.cuminreach.wire.generated.AnnouncementBatch;
import org.cuminreach.wire.generated.ConfigurationReport;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.Heartbeat;
import org.cuminreach.wire.generated.NodeHello;
import org.cuminreach.wire.generated.NodeRedirect;
import org.cuminreach.wire.generated.NodeWelcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Session of the node with one control process at a time. After the connection is lost, the node
 * connects to another one.
 */
public final class ControlSession implements FrameListener {
    private static final Logger LOGGER = LoggerFactory.getLogger(ControlSession.class);
    private static final long MIN_RECONNECT_DELAY_MILLIS = 100;

    /**
     * A node without a control process misses changes, which have to reach it within seconds, so
     * the delay must not be longer.
     */
    private static final long MAX_RECONNECT_DELAY_MILLIS = 1_000;

    private static final long WELCOME_TIMEOUT_MILLIS = 4_000;

    private final NodeSettings settings;
    private final ConfigurationHolder configurationHolder;
    private final KeyFreshness keyFreshness;
    private final MeshView meshView;
    private final EvidenceRecorder evidence;
    private final TargetAnnouncer announcer;
    private final FrameEndpoints endpoints;
    private final ScheduledExecutorService timer;
    private final RandomGenerator random;
    private final ControlAddresses controlAddresses;
    private final RedirectPolicy redirectPolicy = RedirectPolicy.create();
    private volatile FrameConnection connection;
    private volatile boolean welcomed;
    private volatile boolean stopping;

    /**
     * True if the node is connected, or is connecting, to a control to which another one redirected
     * it.
     */
    private volatile boolean redirected;

    /** True if the current control has redirected the node to a nearer one, to connect to next. */
    private volatile boolean redirectPending;

    private final ReconnectBackoff backoff =
            ReconnectBackoff.between(MIN_RECONNECT_DELAY_MILLIS, MAX_RECONNECT_DELAY_MILLIS);
    private volatile long openedMillis;
    private boolean everWelcomed;
    private Optional<Long> requestedDelayMillis = Optional.empty();

    private ControlSession(
            NodeSettings settings,
            ConfigurationHolder configurationHolder,
            KeyFreshness keyFreshness,
            MeshView meshView,
            EvidenceRecorder evidence,
            TargetAnnouncer announcer,
            FrameEndpoints endpoints,
            ScheduledExecutorService timer,
            RandomGenerator random) {
        this.settings = settings;
        this.configurationHolder = configurationHolder;
        this.keyFreshness = keyFreshness;
        this.meshView = meshView;
        this.evidence = evidence;
        this.announcer = announcer;
        this.endpoints = endpoints;
        this.timer = timer;
        this.random = random;
        this.controlAddresses =
                ControlAddresses.create(
                        settings.controls(), random.nextInt(settings.controls().size()));
    }

    /**
     * Returns a session that is not yet open.
     *
     * @param settings settings of the node
     * @param configurationHolder receives configurations
     * @param keyFreshness asks for proofs that the configuration is current
     * @param meshView receives announcements of targets
     * @param evidence collects the outcomes of the node's calls
     * @param announcer makes the announcements of the node's target
     * @param endpoints opens connections
     * @param timer schedules reconnects
     * @param random source of the jitter
     * @return the session
     */
    public static ControlSession create(
            NodeSettings settings,
            ConfigurationHolder configurationHolder,
            KeyFreshness keyFreshness,
            MeshView meshView,
            EvidenceRecorder evidence,
            TargetAnnouncer announcer,
            FrameEndpoints endpoints,
            ScheduledExecutorService timer,
            RandomGenerator random) {
        return new ControlSession(
                settings,
                configurationHolder,
                keyFreshness,
                meshView,
                evidence,
                announcer,
                endpoints,
                timer,
                random);
    }

    /**
     * Replaces the configured addresses of the control processes. An open session is kept.
     *
     * @param controls the new addresses; an empty list changes nothing
     */
    public void updateControlAddresses(List<Address> controls) {
        controlAddresses.setConfigured(controls);
    }

    /** Connects to the next control process. */
    public void connect() {
        if (stopping) {
            return;
        }
        redirected = redirectPending;
        redirectPending = false;
        Address control = controlAddresses.next();
        long startMillis = ProcessClock.monotonicMillis();
        endpoints
                .connect(control, this)
                .whenComplete(
                        (channel, failure) -> {
                            if (failure != null) {
                                LOGGER.info(
                                        "event=control_unreachable control={} duration_ms={}"
                                                + " reason=\"{}\"",
                                        control,
                                        ProcessClock.monotonicMillis() - startMillis,
                                        failure.getMessage());
                                recordLoss();
                                scheduleReconnect();
                            }
                        });
    }

    /**
     * Sends a heartbeat and the collected outcomes of calls, or closes the connection when no
     * welcome arrived in time.
     *
     * @param wallMillis current wall-clock time
     */
    public void onTimer(long wallMillis) {
        FrameConnection open = connection;
        if (open == null) {
            return;
        }
        if (!welcomed && ProcessClock.monotonicMillis() - openedMillis > WELCOME_TIMEOUT_MILLIS) {
            LOGGER.info("event=control_session_closed reason=no_welcome");
            open.close();
            return;
        }
        open.send(
                Frame.heartbeat(
                        keyFreshness.addQuestion(
                                new Heartbeat(wallMillis)
                                        .setMayMove(
                                                redirectPolicy.mayRedirect(
                                                        ProcessClock.monotonicMillis())))));
        if (welcomed) {
            List<Evidence> taken = evidence.drain(wallMillis);
            if (!taken.isEmpty()) {
                open.send(EvidenceCodec.toFrame(taken));
            }
        }
    }

    /** Announces the current state of the target. */
    public void announce() {
        FrameConnection open = connection;
        if (open != null) {
            announcer
                    .nextAnnouncement()
                    .ifPresent(next -> open.send(AnnouncementCodec.toFrame(List.of(next))));
        }
    }

    /** Stops reconnecting. An open connection is kept until the process exits. */
    public void stop() {
        stopping = true;
    }

    /**
     * Tells whether the session is established.
     *
     * @return true while connected to a control that has welcomed this node
     */
    public boolean isWelcomed() {
        return welcomed;
    }

    @Override
    public void opened(FrameConnection opened) {
        openedMillis = ProcessClock.monotonicMillis();
        connection = opened;
        opened.send(
                Frame.nodeHello(
                        new NodeHello(
                                        settings.name(),
                                        announcer.incarnation(),
                                        settings.dataCentre(),
                                        configurationHolder.activeConfiguration().version())
                                .setMayMove(redirectPolicy.mayRedirect(openedMillis))));
        announce();
    }

    @Override
    public void received(FrameConnection from, Frame frame) throws MalformedFrameException {
        switch (frame.getSetField()) {
            case NODE_WELCOME -> handleWelcome(frame.getNodeWelcome());
            case NODE_REDIRECT -> handleRedirect(from, frame.getNodeRedirect());
            case ANNOUNCEMENTS -> mergeAnnouncements(frame.getAnnouncements());
            case CONFIGURATION_DELTA ->
                    applyDelta(from, DeltaCodec.toDelta(frame.getConfigurationDelta()));
            case HEARTBEAT -> keyFreshness.recordAnswer(frame.getHeartbeat());
            default -> throw new MalformedFrameException("no control sends " + frame.getSetField());
        }
    }

    @Override
    public void closed(FrameConnection closedConnection) {
        connection = null;
        recordLoss();
        welcomed = false;
        LOGGER.info(
                "event=control_lost held_version={}",
                configurationHolder.activeConfiguration().version());
        scheduleReconnect();
    }

    /**
     * Records the loss of a control that was in use, or to which another one redirected this node,
     * so that the node is not soon redirected to it again.
     */
    private void recordLoss() {
        if (!redirectPending && (welcomed || redirected)) {
            redirectPolicy.recordLoss(ProcessClock.monotonicMillis());
        }
    }

    private void mergeAnnouncements(AnnouncementBatch batch) throws MalformedFrameException {
        List<Announcement> announcements = AnnouncementCodec.toAnnouncements(batch);
        if (batch.isComplete()) {
            meshView.mergeComplete(announcements);
        } else {
            meshView.merge(announcements);
        }
    }

    private void handleWelcome(NodeWelcome welcome) {
        welcomed = true;
        backoff.reset();
        LOGGER.info("event=control_welcomed control={}", welcome.getControl());
        if (welcome.isSetKnownIncarnation()) {
            handleKnownIncarnation(welcome.getKnownIncarnation());
        }
        if (welcome.isSetControls()) {
            controlAddresses.setAdvertised(
                    welcome.getControls().stream()
                            .map(Address::parse)
                            .flatMap(Optional::stream)
                            .toList());
        }
        everWelcomed = true;
    }

    /**
     * Handles an incarnation of this node that the control already knows. A process that has just
     * started raises its own above it, since the clock of an earlier process was ahead. A process
     * that was welcomed before has been replaced by another and announces nothing.
     */
    private void handleKnownIncarnation(long known) {
        if (everWelcomed) {
            LOGGER.error("event=name_taken_over name={} incarnation={}", settings.name(), known);
            return;
        }
        LOGGER.warn("event=clock_went_back name={} known_incarnation={}", settings.name(), known);
        announcer.raiseIncarnationAbove(known);
        announce();
    }

    private void handleRedirect(FrameConnection from, NodeRedirect redirect) {
        LOGGER.info(
                "event=control_redirect_received reason={} retry_after_ms={} nearer_control={}",
                redirect.getReason(),
                redirect.getComeBackMillis(),
                redirect.getNearer());
        Optional<Address> nearer =
                Optional.ofNullable(redirect.getNearer()).flatMap(Address::parse);
        nearer.ifPresent(controlAddresses::prefer);
        redirectPending = nearer.isPresent();
        requestedDelayMillis = Optional.of(redirect.getComeBackMillis());
        from.close();
    }

    private void scheduleReconnect() {
        long delayMillis =
                requestedDelayMillis
                        .map(requested -> backoff.nextRequested(requested, random))
                        .orElseGet(() -> backoff.next(random));
        requestedDelayMillis = Optional.empty();
        if (!timer.isShutdown()) {
            timer.schedule(this::connect, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void applyDelta(FrameConnection from, ConfigurationDelta offered) {
        switch (configurationHolder.offer(offered)) {
            case OfferOutcome.Applied applied -> {
                LOGGER.info(
                        "event=configuration_applied configuration={} previous={} at_ms={}",
                        applied.version(),
                        applied.previousVersion(),
                        ProcessClock.wallMillis());
                sendReport(from, List.of());
            }
            case OfferOutcome.NotNewer old -> {
                LOGGER.info(
                        "event=configuration_not_newer held_version={} offered_version={}",
                        old.version(),
                        offered.version());
                sendReport(from, List.of());
            }
            case OfferOutcome.Refused refused -> sendReport(from, refused.faults());
            case OfferOutcome.NeedsFullConfiguration incomplete -> {
                LOGGER.warn(
                        "event=full_configuration_needed held_version={} base_version={}"
                                + " reason=\"{}\"",
                        incomplete.version(),
                        offered.baseVersion(),
                        incomplete.reason());
                from.send(
                        Frame.configurationReport(
                                new ConfigurationReport(incomplete.version()).setNeedsWhole(true)));
            }
        }
    }

    private void sendReport(FrameConnection to, List<Fault> faults) {
        ConfigurationReport report =
                new ConfigurationReport(configurationHolder.activeConfiguration().version());
        if (!faults.isEmpty()) {
            LOGGER.error(
                    "event=configuration_refused held_version={} faults={}",
                    configurationHolder.activeConfiguration().version(),
                    faults);
            report.setFaults(ConfigurationCodec.toStructs(faults));
        }
        to.send(Frame.configurationReport(report));
    }
}
