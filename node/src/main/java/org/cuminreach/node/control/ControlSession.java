package org.cuminreach.node.control;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.OfferOutcome;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.node.caller.EvidenceLog;
import org.cuminreach.node.peer.MeshView;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.node.target.TargetAnnouncer;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.settings.Address;
import org.cuminreach.settings.Fault;
import org.cuminreach.settings.Reading;
import org.cuminreach.wire.ConfigurationCodec;
import org.cuminreach.wire.EvidenceCodec;
import org.cuminreach.wire.MalformedFrameException;
import org.cuminreach.wire.MembershipCodec;
import org.cuminreach.wire.frame.FrameConnection;
import org.cuminreach.wire.frame.FrameEndpoints;
import org.cuminreach.wire.frame.FrameListener;
import org.cuminreach.wire.generated.ConfigurationReport;
import org.cuminreach.wire.generated.ConfigurationUpdate;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.Heartbeat;
import org.cuminreach.wire.generated.NodeHello;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The node's session with one control at a time; another is tried after a loss. */
public final class ControlSession implements FrameListener {
    private static final Logger LOGGER = LoggerFactory.getLogger(ControlSession.class);
    private static final long SHORTEST_WAIT_MILLIS = 100;
    private static final long LONGEST_WAIT_MILLIS = 5_000;

    private final NodeSettings settings;
    private final ConfigurationHolder holder;
    private final MeshView view;
    private final EvidenceLog evidence;
    private final TargetAnnouncer announcer;
    private final FrameEndpoints endpoints;
    private final ScheduledExecutorService timer;
    private final RandomGenerator random;
    private volatile FrameConnection connection;
    private volatile boolean welcomed;
    private volatile boolean stopping;
    private int nextControl;
    private long waitMillis = SHORTEST_WAIT_MILLIS;

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
        this.nextControl = random.nextInt(settings.controls().size());
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

    /** Dials the next control. */
    public void dial() {
        if (stopping) {
            return;
        }
        List<Address> controls = settings.controls();
        Address control = controls.get(nextControl % controls.size());
        nextControl++;
        endpoints
                .connect(control, this)
                .whenComplete(
                        (channel, failure) -> {
                            if (failure != null) {
                                LOGGER.info("event=control_unreachable control={}", control);
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
        open.send(Frame.heartbeat(new Heartbeat(wallMillis)));
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
            open.send(MembershipCodec.toFrame(List.of(announcer.next())));
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
        connection = opened;
        opened.send(
                Frame.nodeHello(
                        new NodeHello(
                                settings.name(),
                                announcer.incarnation(),
                                settings.dataCentre(),
                                holder.inForce().version())));
        announce();
    }

    @Override
    public void received(FrameConnection from, Frame frame) throws MalformedFrameException {
        switch (frame.getSetField()) {
            case NODE_WELCOME -> {
                welcomed = true;
                waitMillis = SHORTEST_WAIT_MILLIS;
                LOGGER.info(
                        "event=control_welcomed control={}", frame.getNodeWelcome().getControl());
            }
            case NODE_REDIRECT -> {
                LOGGER.info(
                        "event=control_sent_away reason={} come_back_ms={}",
                        frame.getNodeRedirect().getReason(),
                        frame.getNodeRedirect().getComeBackMillis());
                waitMillis = Math.max(waitMillis, frame.getNodeRedirect().getComeBackMillis());
                from.close();
            }
            case ANNOUNCEMENTS ->
                    view.merge(MembershipCodec.toAnnouncements(frame.getAnnouncements()));
            case CONFIGURATION -> take(from, frame.getConfiguration());
            case HEARTBEAT -> LOGGER.trace("event=control_alive");
            default -> throw new MalformedFrameException("no control sends " + frame.getSetField());
        }
    }

    @Override
    public void closed(FrameConnection closedConnection) {
        connection = null;
        welcomed = false;
        LOGGER.info("event=control_lost held_version={}", holder.inForce().version());
        dialLater();
    }

    /** Waits with decorrelated jitter: a random time up to three times the last one. */
    private void dialLater() {
        long ceiling = Math.min(LONGEST_WAIT_MILLIS, waitMillis * 3);
        waitMillis =
                random.nextLong(SHORTEST_WAIT_MILLIS, Math.max(ceiling, SHORTEST_WAIT_MILLIS + 1));
        if (!timer.isShutdown()) {
            timer.schedule(this::dial, waitMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void take(FrameConnection from, ConfigurationUpdate update)
            throws MalformedFrameException {
        switch (ConfigurationCodec.toConfiguration(update)) {
            case Reading.Faulty<MeshConfiguration> faulty -> report(from, faulty.faults());
            case Reading.Sound<MeshConfiguration> sound -> offer(from, sound.value());
        }
    }

    private void offer(FrameConnection from, MeshConfiguration offered) {
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
