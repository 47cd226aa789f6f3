package org.cuminreach.trial.distribution;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;
import org.cuminreach.decisions.distribution.ReconnectBackoff;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.AnnouncementCodec;
import org.cuminreach.wire.frame.FrameConnection;
import org.cuminreach.wire.frame.FrameEndpoints;
import org.cuminreach.wire.frame.FrameListener;
import org.cuminreach.wire.generated.ConfigurationReport;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.Heartbeat;
import org.cuminreach.wire.generated.NodeHello;

/**
 * A simulated node without a target or callers. It holds a session with a control over a network
 * connection and reports the versions that it receives, but does not build the configurations.
 */
public final class FakeNode implements FrameListener {
    private static final int SLOTS = 9;
    private static final long MIN_RECONNECT_DELAY_MILLIS = 100;
    private static final long MAX_RECONNECT_DELAY_MILLIS = 5_000;

    private final String name;
    private final String service;
    private final String dataCentre;
    private final List<Address> controls;
    private final FrameEndpoints endpoints;
    private final ScheduledExecutorService timer;
    private final RandomGenerator random;
    private final LongConsumer versionListener;
    private final ReconnectBackoff backoff =
            ReconnectBackoff.between(MIN_RECONNECT_DELAY_MILLIS, MAX_RECONNECT_DELAY_MILLIS);
    private final AtomicInteger redirects = new AtomicInteger();
    private volatile FrameConnection connection;
    private volatile boolean welcomed;
    private volatile boolean stopped;
    private volatile long version;
    private volatile long receivedAnnouncements;
    private Optional<Long> requestedDelayMillis = Optional.empty();
    private long incarnation = 1;
    private long sequence;
    private int nextControl;

    private FakeNode(
            int number,
            List<Address> controls,
            FrameEndpoints endpoints,
            ScheduledExecutorService timer,
            RandomGenerator random,
            LongConsumer versionListener) {
        this.name = "node-" + number;
        this.service = "service-" + number % Workload.SERVICES;
        this.dataCentre = "data-centre-" + number % Workload.DATA_CENTRES;
        this.controls = controls;
        this.endpoints = endpoints;
        this.timer = timer;
        this.random = random;
        this.versionListener = versionListener;
        this.nextControl = random.nextInt(controls.size());
    }

    /**
     * Creates a node that is not connected yet.
     *
     * @param number number of the node, from which its name, service and data centre follow
     * @param controls addresses of the controls
     * @param endpoints factory of its connections
     * @param timer schedules its reconnects
     * @param random source of randomness, for the first control and the backoff
     * @param versionListener called with each new version that it receives
     * @return the node
     */
    public static FakeNode create(
            int number,
            List<Address> controls,
            FrameEndpoints endpoints,
            ScheduledExecutorService timer,
            RandomGenerator random,
            LongConsumer versionListener) {
        return new FakeNode(number, controls, endpoints, timer, random, versionListener);
    }

    /** Connects to the next control. */
    public void connect() {
        if (stopped) {
            return;
        }
        Address control = controls.get(nextControl % controls.size());
        nextControl++;
        endpoints
                .connect(control, this)
                .whenComplete(
                        (channel, failure) -> {
                            if (failure != null) {
                                scheduleReconnect();
                            }
                        });
    }

    /** Sends a heartbeat. */
    public void sendHeartbeat() {
        FrameConnection open = connection;
        if (open != null) {
            open.send(Frame.heartbeat(new Heartbeat(0)));
        }
    }

    /**
     * Announces the target of this node.
     *
     * @param phase its phase
     */
    public synchronized void announce(TargetPhase phase) {
        FrameConnection open = connection;
        if (open == null) {
            return;
        }
        sequence++;
        Announcement announcement =
                new Announcement(
                        name,
                        incarnation,
                        sequence,
                        service,
                        "1",
                        dataCentre,
                        new Address("127.0.0.1", 7_000),
                        SLOTS,
                        phase,
                        name);
        open.send(AnnouncementCodec.toFrame(List.of(announcement)));
    }

    /** Drops state and connection, as a restarted process does. */
    public synchronized void restart() {
        incarnation++;
        sequence = 0;
        version = 0;
        close();
    }

    /** Closes the connection and does not reconnect. */
    public void stop() {
        stopped = true;
        close();
    }

    /**
     * Returns the latest version that the node received.
     *
     * @return the version; 0 for none
     */
    public long version() {
        return version;
    }

    /**
     * Tells whether a control has accepted the session of the node.
     *
     * @return true while it has
     */
    public boolean isWelcomed() {
        return welcomed;
    }

    /**
     * Returns how often the node was redirected.
     *
     * @return number of redirects
     */
    public int redirects() {
        return redirects.get();
    }

    /**
     * Returns how many announcements the node received.
     *
     * @return number of announcements, including repeated ones
     */
    public long receivedAnnouncements() {
        return receivedAnnouncements;
    }

    @Override
    public void opened(FrameConnection opened) {
        connection = opened;
        opened.send(Frame.nodeHello(new NodeHello(name, incarnation, dataCentre, version)));
        announce(TargetPhase.READY);
    }

    @Override
    public void received(FrameConnection from, Frame frame) {
        switch (frame.getSetField()) {
            case NODE_WELCOME -> {
                welcomed = true;
                backoff.reset();
            }
            case NODE_REDIRECT -> {
                redirects.incrementAndGet();
                requestedDelayMillis = Optional.of(frame.getNodeRedirect().getComeBackMillis());
                from.close();
            }
            case ANNOUNCEMENTS ->
                    receivedAnnouncements += frame.getAnnouncements().getAnnouncementsSize();
            case CONFIGURATION_DELTA ->
                    acceptVersion(from, frame.getConfigurationDelta().getVersion());
            default -> {}
        }
    }

    @Override
    public void closed(FrameConnection closedConnection) {
        connection = null;
        welcomed = false;
        scheduleReconnect();
    }

    private void acceptVersion(FrameConnection from, long offered) {
        if (offered > version) {
            version = offered;
            versionListener.accept(offered);
        }
        from.send(Frame.configurationReport(new ConfigurationReport(version)));
    }

    private void scheduleReconnect() {
        long waitMillis =
                requestedDelayMillis
                        .map(requested -> backoff.nextRequested(requested, random))
                        .orElseGet(() -> backoff.next(random));
        requestedDelayMillis = Optional.empty();
        if (!stopped && !timer.isShutdown()) {
            timer.schedule(this::connect, waitMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void close() {
        FrameConnection open = connection;
        if (open != null) {
            open.close();
        }
    }
}
