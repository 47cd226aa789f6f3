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
import org.cuminreach.wire.MembershipCodec;
import org.cuminreach.wire.frame.FrameConnection;
import org.cuminreach.wire.frame.FrameEndpoints;
import org.cuminreach.wire.frame.FrameListener;
import org.cuminreach.wire.generated.ConfigurationReport;
import org.cuminreach.wire.generated.Frame;
import org.cuminreach.wire.generated.Heartbeat;
import org.cuminreach.wire.generated.NodeHello;

/**
 * A node without a target or callers: it keeps its session over a real connection and reports the
 * versions that it is sent, but does not build them.
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
            LongConsumer heard) {
        this.name = "node-" + number;
        this.service = "service-" + number % Workload.SERVICES;
        this.dataCentre = "data-centre-" + number % Workload.DATA_CENTRES;
        this.controls = controls;
        this.endpoints = endpoints;
        this.timer = timer;
        this.random = random;
        this.versionListener = heard;
        this.nextControl = random.nextInt(controls.size());
    }

    /**
     * Returns a node that has not dialled yet.
     *
     * @param number number of the node, from which its name, service and data centre follow
     * @param controls addresses of the controls
     * @param endpoints opens its connections
     * @param timer waits between attempts
     * @param random source of its jitter
     * @param heard receives each version that it is sent
     * @return the node
     */
    public static FakeNode create(
            int number,
            List<Address> controls,
            FrameEndpoints endpoints,
            ScheduledExecutorService timer,
            RandomGenerator random,
            LongConsumer heard) {
        return new FakeNode(number, controls, endpoints, timer, random, heard);
    }

    /** Dials the next control. */
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
     * Announces the target.
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
        open.send(MembershipCodec.toFrame(List.of(announcement)));
    }

    /** Loses its memory and its connection, as a restarted process does. */
    public synchronized void restart() {
        incarnation++;
        sequence = 0;
        version = 0;
        close();
    }

    /** Closes the connection for good. */
    public void stop() {
        stopped = true;
        close();
    }

    /**
     * Returns the version that the node was last sent.
     *
     * @return the version; 0 for none
     */
    public long version() {
        return version;
    }

    /**
     * Tells whether a control has welcomed the node.
     *
     * @return true while it has
     */
    public boolean isWelcomed() {
        return welcomed;
    }

    /**
     * Returns how often the node was sent away.
     *
     * @return redirects
     */
    public int redirects() {
        return redirects.get();
    }

    /**
     * Returns how many announcements the node was sent.
     *
     * @return announcements, repeated ones included
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
                        .map(asked -> backoff.nextRequested(asked, random))
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
