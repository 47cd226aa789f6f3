package org.cuminreach.trial.distribution;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.settings.Address;
import org.cuminreach.wire.frame.FrameEndpoints;
import org.cuminreach.wire.frame.TrafficCounter;

/** Many simulated nodes in this process; measures when they receive versions. */
final class NodeFleet implements AutoCloseable {
    private static final int EVENT_LOOP_THREADS = 2;
    private static final long IDLE_TIMEOUT_MILLIS = 10_000;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final long POLL_MILLIS = 5;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final EventLoopGroup eventLoops = EventLoops.start(EVENT_LOOP_THREADS);
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final TrafficCounter traffic = TrafficCounter.zero();
    private final List<FakeNode> nodes = new ArrayList<>();
    private final Histogram deliveryMillis =
            new SynchronizedHistogram(MAX_WAIT_MILLIS, SIGNIFICANT_DIGITS);
    private volatile long submittedNanos = System.nanoTime();

    private NodeFleet() {}

    static NodeFleet connect(int count, List<Address> controls, long seed) {
        NodeFleet fleet = new NodeFleet();
        Random random = new Random(seed);
        FrameEndpoints endpoints =
                FrameEndpoints.create(fleet.eventLoops, fleet.traffic, IDLE_TIMEOUT_MILLIS);
        for (int number = 0; number < count; number++) {
            fleet.nodes.add(
                    FakeNode.create(
                            number,
                            controls,
                            endpoints,
                            fleet.timer,
                            new Random(random.nextLong()),
                            version -> fleet.recordDelivery()));
        }
        fleet.nodes.forEach(FakeNode::connect);
        fleet.timer.scheduleAtFixedRate(
                fleet::sendHeartbeats,
                HEARTBEAT_INTERVAL_MILLIS,
                HEARTBEAT_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        return fleet;
    }

    void startTiming() {
        submittedNanos = System.nanoTime();
    }

    /** Waits until every node has a session and a version; returns the wait in milliseconds. */
    long awaitVersion(long version) throws InterruptedException, TimeoutException {
        long startNanos = System.nanoTime();
        while (!nodes.stream().allMatch(node -> node.isWelcomed() && node.version() >= version)) {
            long elapsedMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
            if (elapsedMillis > MAX_WAIT_MILLIS) {
                throw new TimeoutException(
                        "version "
                                + version
                                + " did not reach every node within "
                                + MAX_WAIT_MILLIS
                                + " ms");
            }
            Thread.sleep(POLL_MILLIS);
        }
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    long receivedBytes() {
        return traffic.receivedBytes();
    }

    long sentBytes() {
        return traffic.sentBytes();
    }

    long redirects() {
        return nodes.stream().mapToLong(FakeNode::redirects).sum();
    }

    void announce(int node, TargetPhase phase) {
        nodes.get(node % nodes.size()).announce(phase);
    }

    void restartAll() {
        nodes.forEach(FakeNode::restart);
    }

    Histogram takeDeliveryTimes() {
        Histogram times = deliveryMillis.copy();
        deliveryMillis.reset();
        return times;
    }

    @Override
    public void close() {
        nodes.forEach(FakeNode::stop);
        timer.shutdownNow();
        EventLoops.stop(eventLoops);
    }

    private void sendHeartbeats() {
        nodes.forEach(FakeNode::sendHeartbeat);
    }

    private void recordDelivery() {
        long millis = (System.nanoTime() - submittedNanos) / NANOS_PER_MILLI;
        deliveryMillis.recordValue(Math.min(millis, MAX_WAIT_MILLIS));
    }
}
