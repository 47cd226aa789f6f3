package org.cuminreach.node.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
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
import org.cuminreach.wire.AnnouncementCodec;
import org.cuminreach.wire.DeltaCodec;
import org.cuminreach.wire.EvidenceCodec;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.frame.FrameConnection;
import org.cuminreach.wire.frame.FrameEndpoints;
import org.cuminreach.wire.generated.AnnouncementBatch;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.Heartbeat;
import org.cuminreach.wire.generated.NodeHello;
import org.cuminreach.wire.generated.NodeRedirect;
import org.cuminreach.wire.generated.NodeWelcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Session of the node with one control process at a time. After the connection is lost, the node
 * connects to the first of the others that welcomes it.
 */
public final class ControlSession {
    private static final Logger LOGGER = LoggerFactory.getLogger(ControlSession.class);
    private static final long MIN_RECONNECT_DELAY_MILLIS = 100;

    /**
     * A node without a control process misses changes, which have to reach it within seconds, so
     * the delay must not be longer.
     */
    private static final long MAX_RECONNECT_DELAY_MILLIS = 1_000;

    private static final long WELCOME_TIMEOUT_MILLIS = 4_000;

    /**
     * Time without a welcome after which another control is tried beside, in milliseconds; several
     * times as long as a welcome takes.
     */
    private static final long NEXT_ATTEMPT_DELAY_MILLIS = 300;

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
    private final ConfigurationReceiver configurations;
    private final ControlAttempts attempts = new ControlAttempts();
    private final ReconnectBackoff backoff =
            ReconnectBackoff.between(MIN_RECONNECT_DELAY_MILLIS, MAX_RECONNECT_DELAY_MILLIS);
    private boolean everWelcomed;

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
        this.configurations = new ConfigurationReceiver(configurationHolder);
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

    /** Connects to the next control process, unless enough attempts are in progress. */
    public void connect() {
        if (!attempts.mayStart()) {
            return;
        }
        boolean redirected = controlAddresses.hasPreferred();
        ControlAttempt attempt =
                new ControlAttempt(
                        this, controlAddresses.next(), redirected, ProcessClock.monotonicMillis());
        attempts.add(attempt);
        endpoints
                .connect(attempt.control(), attempt)
                .whenComplete(
                        (channel, failure) -> {
                            if (failure != null) {
                                onUnreachable(attempt, failure);
                            }
                        });
        schedule(
                () -> {
                    if (attempts.isUndecided(attempt)) {
                        connect();
                    }
                },
                NEXT_ATTEMPT_DELAY_MILLIS);
    }

    /**
     * Sends heartbeats and the collected outcomes of calls, and closes connections on which no
     * welcome arrived in time.
     *
     * @param wallMillis current wall-clock time
     */
    public void onTimer(long wallMillis) {
        long nowMillis = ProcessClock.monotonicMillis();
        for (ControlAttempt attempt : attempts.undecided()) {
            if (nowMillis - attempt.startMillis() > WELCOME_TIMEOUT_MILLIS) {
                LOGGER.info(
                        "event=control_session_closed control={} reason=no_welcome",
                        attempt.control());
                attempt.close();
            } else {
                attempt.connection()
                        .ifPresent(
                                open ->
                                        open.send(
                                                Frame.heartbeat(heartbeat(wallMillis, nowMillis))));
            }
        }
        welcomedConnection()
                .ifPresent(
                        open -> {
                            open.send(
                                    Frame.heartbeat(
                                            keyFreshness.addQuestion(
                                                    heartbeat(wallMillis, nowMillis))));
                            List<Evidence> taken = evidence.drain(wallMillis);
                            if (!taken.isEmpty()) {
                                open.send(EvidenceCodec.toFrame(taken));
                            }
                        });
    }

    private Heartbeat heartbeat(long wallMillis, long nowMillis) {
        return new Heartbeat(wallMillis).setMayMove(redirectPolicy.mayRedirect(nowMillis));
    }

    private Optional<FrameConnection> welcomedConnection() {
        return attempts.welcomed().flatMap(ControlAttempt::connection);
    }

    /** Announces the current state of the target to the controls that the node is connected to. */
    public void announce() {
        welcomedConnection().ifPresent(this::announceTo);
        attempts.undecided().forEach(attempt -> attempt.connection().ifPresent(this::announceTo));
    }

    private void announceTo(FrameConnection open) {
        announcer
                .nextAnnouncement()
                .ifPresent(next -> open.send(AnnouncementCodec.toFrame(List.of(next))));
    }

    /** Stops reconnecting. An open connection is kept until the process exits. */
    public void stop() {
        attempts.stop();
    }

    /**
     * Tells whether the session is established.
     *
     * @return true while connected to a control that has welcomed this node
     */
    public boolean isWelcomed() {
        return attempts.welcomed().isPresent();
    }

    void onOpened(ControlAttempt attempt, FrameConnection opened) {
        if (!attempts.isUndecided(attempt)) {
            opened.close();
            return;
        }
        opened.send(
                Frame.nodeHello(
                        new NodeHello(
                                        settings.name(),
                                        announcer.incarnation(),
                                        settings.dataCentre(),
                                        configurationHolder.activeConfiguration().version())
                                .setSharesSuspects(true)
                                .setMayMove(
                                        redirectPolicy.mayRedirect(
                                                ProcessClock.monotonicMillis()))));
        announceTo(opened);
    }

    void onReceived(ControlAttempt attempt, FrameConnection from, Frame frame)
            throws MalformedFrameException {
        switch (frame.getSetField()) {
            case NODE_WELCOME -> handleWelcome(attempt, frame.getNodeWelcome());
            case NODE_REDIRECT -> handleRedirect(attempt, frame.getNodeRedirect());
            case ANNOUNCEMENTS, CONFIGURATION_DELTA, HEARTBEAT -> {
                if (attempts.welcomed().equals(Optional.of(attempt))) {
                    handleUpdate(from, frame);
                }
            }
            default -> throw new MalformedFrameException("no control sends " + frame.getSetField());
        }
    }

    /** Handles a frame of the control that has welcomed the node. */
    private void handleUpdate(FrameConnection from, Frame frame) throws MalformedFrameException {
        if (frame.isSetAnnouncements()) {
            mergeAnnouncements(frame.getAnnouncements());
        } else if (frame.isSetConfigurationDelta()) {
            configurations.apply(from, DeltaCodec.toDelta(frame.getConfigurationDelta()));
        } else {
            keyFreshness.recordAnswer(frame.getHeartbeat());
        }
    }

    void onClosed(ControlAttempt attempt) {
        boolean wasWelcomed = attempts.welcomed().equals(Optional.of(attempt));
        if (recordEnd(attempt, wasWelcomed)) {
            LOGGER.info(
                    "event=control_lost control={} welcomed={} held_version={}",
                    attempt.control(),
                    wasWelcomed,
                    configurationHolder.activeConfiguration().version());
        }
    }

    private void onUnreachable(ControlAttempt attempt, Throwable failure) {
        LOGGER.info(
                "event=control_unreachable control={} duration_ms={} reason=\"{}\"",
                attempt.control(),
                ProcessClock.monotonicMillis() - attempt.startMillis(),
                failure.getMessage());
        recordEnd(attempt, false);
    }

    /** Starts the next attempt after the end of one; returns false if it had been given up. */
    private boolean recordEnd(ControlAttempt attempt, boolean wasWelcomed) {
        if (!attempts.recordEnd(attempt)) {
            return false;
        }
        // A control that was lost may soon be recommended again by another one.
        if ((wasWelcomed || attempt.isRedirected()) && !attempt.isRedirecting()) {
            redirectPolicy.recordLoss(ProcessClock.monotonicMillis());
        }
        schedule(this::connect, reconnectDelayMillis(attempt));
        return true;
    }

    private void mergeAnnouncements(AnnouncementBatch batch) throws MalformedFrameException {
        List<Announcement> announcements = AnnouncementCodec.toAnnouncements(batch);
        if (batch.isComplete()) {
            meshView.mergeComplete(announcements);
        } else {
            meshView.merge(announcements);
        }
    }

    private void handleWelcome(ControlAttempt attempt, NodeWelcome welcome) {
        Optional<List<ControlAttempt>> others = attempts.recordWelcome(attempt);
        if (others.isEmpty()) {
            attempt.close();
            return;
        }
        others.get().forEach(ControlAttempt::close);
        backoff.reset();
        LOGGER.info(
                "event=control_welcomed control={} given_up={}",
                welcome.getControl(),
                others.get().size());
        if (welcome.isSetKnownIncarnation()) {
            handleKnownIncarnation(welcome.getKnownIncarnation());
        } else if (!others.get().isEmpty()) {
            // The controls of the attempts that are closed now take the node for disconnected.
            announce();
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

    private void handleRedirect(ControlAttempt attempt, NodeRedirect redirect) {
        LOGGER.info(
                "event=control_redirect_received reason={} retry_after_ms={} nearer_control={}",
                redirect.getReason(),
                redirect.getComeBackMillis(),
                redirect.getNearer());
        Optional<Address> nearer =
                Optional.ofNullable(redirect.getNearer()).flatMap(Address::parse);
        nearer.ifPresent(controlAddresses::prefer);
        attempt.recordRedirect(redirect.getComeBackMillis(), nearer.isPresent());
        attempt.close();
    }

    private synchronized long reconnectDelayMillis(ControlAttempt ended) {
        return ended.requestedDelayMillis()
                .map(requested -> backoff.nextRequested(requested, random))
                .orElseGet(() -> backoff.next(random));
    }

    private void schedule(Runnable task, long delayMillis) {
        if (!timer.isShutdown()) {
            timer.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        }
    }
}
