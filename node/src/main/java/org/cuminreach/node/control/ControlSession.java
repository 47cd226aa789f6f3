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
import org.cuminreach.node.caller.EvidenceLog;
import org.cuminreach.node.peer.MeshView;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.node.target.TargetAnnouncer;
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

/** The node's session with one control at a time; another is tried after a loss. */
public final class ControlSession implements FrameListener {
    private static final Logger LOGGER = LoggerFactory.getLogger(ControlSession.class);
    private static final long SHORTEST_WAIT_MILLIS = 100;

    /** A node without a control misses changes; those that promise seconds leave no more. */
    private static final long LONGEST_WAIT_MILLIS = 1_000;

    private static final long LONGEST_GREETING_MILLIS = 4_000;

    private final NodeSettings settings;
    private final ConfigurationHolder holder;
    private final MeshView view;
    private final EvidenceLog evidence;
    private final TargetAnnouncer announcer;
    private final FrameEndpoints endpoints;
    private final ScheduledExecutorService timer;
    private final RandomGenerator random;
    private final ControlContacts contacts;
    private final RedirectPolicy consent = RedirectPolicy.create();
    private volatile FrameConnection connection;
    private volatile boolean welcomed;
    private volatile boolean stopping;

    /** Whether the control that is dialled or in use was named by another one. */
    private volatile boolean sentOn;

    /** Whether the control in use has named a nearer one, which is dialled next. */
    private volatile boolean movesNearer;

    private final ReconnectBackoff backoff =
            ReconnectBackoff.between(SHORTEST_WAIT_MILLIS, LONGEST_WAIT_MILLIS);
    private volatile long openedMillis;
    private boolean everWelcomed;
    private Optional<Long> askedWaitMillis = Optional.empty();

    private ControlSession(
            NodeSettings settings,
            ConfigurationHolder holder,
            MeshView view,
            EvidenceLog evidence,
            TargetAnnouncer announcer,
            FrameEndpoints endpoints,
            ScheduledExecutorService timer,
            RandomGenerator random) {
        this.settings = settings;
        this.holder = holder;
        this.view = view;
        this.evidence = evidence;
        this.announcer = announcer;
        this.endpoints = endpoints;
        this.timer = timer;
        this.random = random;
        this.contacts =
                ControlContacts.of(settings.controls(), random.nextInt(settings.controls().size()));
    }

    /**
     * Returns a session that is not yet open.
     *
     * @param settings settings of the node
     * @param holder takes over configurations
     * @param view takes over targets
     * @param evidence what the node's calls met
     * @param announcer what the node says of its target
     * @param endpoints opens connections
     * @param timer waits between attempts
     * @param random source of the jitter
     * @return the session
     */
    public static ControlSession create(
            NodeSettings settings,
            ConfigurationHolder holder,
            MeshView view,
            EvidenceLog evidence,
            TargetAnnouncer announcer,
            FrameEndpoints endpoints,
            ScheduledExecutorService timer,
            RandomGenerator random) {
        return new ControlSession(
                settings, holder, view, evidence, announcer, endpoints, timer, random);
    }

    /**
     * Takes other addresses of controls, as from changed settings. An open session stays.
     *
     * @param controls the addresses
     */
    public void follow(List<Address> controls) {
        contacts.configure(controls);
    }

    /** Dials the next control. */
    public void dial() {
        if (stopping) {
            return;
        }
        sentOn = movesNearer;
        movesNearer = false;
        Address control = contacts.next();
        endpoints
                .connect(control, this)
                .whenComplete(
                        (channel, failure) -> {
                            if (failure != null) {
                                LOGGER.info("event=control_unreachable control={}", control);
                                noteLoss();
                                dialLater();
                            }
                        });
    }

    /**
     * Lets time pass: keeps the connection alive and sends what calls met.
     *
     * @param wallMillis present wall-clock time
     */
    public void tick(long wallMillis) {
        FrameConnection open = connection;
        if (open == null) {
            return;
        }
        if (!welcomed && ProcessClock.monotonicMillis() - openedMillis > LONGEST_GREETING_MILLIS) {
            LOGGER.info("event=control_left reason=no_welcome");
            open.close();
            return;
        }
        open.send(
                Frame.heartbeat(
                        new Heartbeat(wallMillis)
                                .setMayMove(consent.mayMove(ProcessClock.monotonicMillis()))));
        if (welcomed) {
            List<Evidence> taken = evidence.take(wallMillis);
            if (!taken.isEmpty()) {
                open.send(EvidenceCodec.toFrame(taken));
            }
        }
    }

    /** Announces the target's phase, as it is now. */
    public void announce() {
        FrameConnection open = connection;
        if (open != null) {
            announcer.next().ifPresent(next -> open.send(AnnouncementCodec.toFrame(List.of(next))));
        }
    }

    /** Dials no more; the open connection stays until the process ends. */
    public void stop() {
        stopping = true;
    }

    /**
     * Tells whether a control has welcomed this node.
     *
     * @return true while it has
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
                                        holder.inForce().version())
                                .setMayMove(consent.mayMove(openedMillis))));
        announce();
    }

    @Override
    public void received(FrameConnection from, Frame frame) throws MalformedFrameException {
        switch (frame.getSetField()) {
            case NODE_WELCOME -> beWelcomed(frame.getNodeWelcome());
            case NODE_REDIRECT -> leave(from, frame.getNodeRedirect());
            case ANNOUNCEMENTS -> takeTargets(frame.getAnnouncements());
            case CONFIGURATION_DELTA ->
                    offer(from, DeltaCodec.toDelta(frame.getConfigurationDelta()));
            case HEARTBEAT -> LOGGER.trace("event=control_alive");
            default -> throw new MalformedFrameException("no control sends " + frame.getSetField());
        }
    }

    @Override
    public void closed(FrameConnection closedConnection) {
        connection = null;
        noteLoss();
        welcomed = false;
        LOGGER.info("event=control_lost held_version={}", holder.inForce().version());
        dialLater();
    }

    /** A control that was in use, or to which another sent this node, is not to be trusted soon. */
    private void noteLoss() {
        if (!movesNearer && (welcomed || sentOn)) {
            consent.recordLoss(ProcessClock.monotonicMillis());
        }
    }

    private void takeTargets(AnnouncementBatch batch) throws MalformedFrameException {
        List<Announcement> announcements = AnnouncementCodec.toAnnouncements(batch);
        if (batch.isComplete()) {
            view.mergeComplete(announcements);
        } else {
            view.merge(announcements);
        }
    }

    private void beWelcomed(NodeWelcome welcome) {
        welcomed = true;
        backoff.reset();
        LOGGER.info("event=control_welcomed control={}", welcome.getControl());
        if (welcome.isSetKnownIncarnation()) {
            meetLaterIncarnation(welcome.getKnownIncarnation());
        }
        if (welcome.isSetControls()) {
            contacts.told(
                    welcome.getControls().stream()
                            .map(Address::parse)
                            .flatMap(Optional::stream)
                            .toList());
        }
        everWelcomed = true;
    }

    /**
     * A process that has just started goes past the incarnation of an earlier one, whose clock was
     * ahead; one that was welcomed before has been replaced and stays silent.
     */
    private void meetLaterIncarnation(long known) {
        if (everWelcomed) {
            LOGGER.error("event=name_taken_over name={} incarnation={}", settings.name(), known);
            return;
        }
        LOGGER.warn("event=clock_went_back name={} known_incarnation={}", settings.name(), known);
        announcer.surpass(known);
        announce();
    }

    private void leave(FrameConnection from, NodeRedirect redirect) {
        LOGGER.info(
                "event=control_sent_away reason={} come_back_ms={} nearer={}",
                redirect.getReason(),
                redirect.getComeBackMillis(),
                redirect.getNearer());
        Optional<Address> nearer =
                Optional.ofNullable(redirect.getNearer()).flatMap(Address::parse);
        nearer.ifPresent(contacts::prefer);
        movesNearer = nearer.isPresent();
        askedWaitMillis = Optional.of(redirect.getComeBackMillis());
        from.close();
    }

    private void dialLater() {
        long waitMillis =
                askedWaitMillis
                        .map(asked -> backoff.nextRequested(asked, random))
                        .orElseGet(() -> backoff.next(random));
        askedWaitMillis = Optional.empty();
        if (!timer.isShutdown()) {
            timer.schedule(this::dial, waitMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void offer(FrameConnection from, ConfigurationDelta offered) {
        switch (holder.offer(offered)) {
            case OfferOutcome.Applied applied -> {
                LOGGER.info(
                        "event=configuration_applied configuration={} previous={} at_ms={}",
                        applied.version(),
                        applied.previousVersion(),
                        ProcessClock.wallMillis());
                report(from, List.of());
            }
            case OfferOutcome.NotNewer old -> {
                LOGGER.info(
                        "event=configuration_not_newer held_version={} offered_version={}",
                        old.version(),
                        offered.version());
                report(from, List.of());
            }
            case OfferOutcome.Refused refused -> report(from, refused.faults());
            case OfferOutcome.NeedsWhole lacking -> {
                LOGGER.warn(
                        "event=whole_configuration_needed held_version={} base_version={}"
                                + " reason=\"{}\"",
                        lacking.version(),
                        offered.baseVersion(),
                        lacking.reason());
                from.send(
                        Frame.configurationReport(
                                new ConfigurationReport(lacking.version()).setNeedsWhole(true)));
            }
        }
    }

    private void report(FrameConnection to, List<Fault> faults) {
        ConfigurationReport report = new ConfigurationReport(holder.inForce().version());
        if (!faults.isEmpty()) {
            LOGGER.error(
                    "event=configuration_refused held_version={} faults={}",
                    holder.inForce().version(),
                    faults);
            report.setFaults(ConfigurationCodec.toStructs(faults));
        }
        to.send(Frame.configurationReport(report));
    }
}
