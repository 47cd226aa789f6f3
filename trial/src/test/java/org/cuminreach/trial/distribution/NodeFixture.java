package org.cuminreach.trial.distribution;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cuminreach.decisions.admission.LinkRate;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.node.caller.EvidenceRecorder;
import org.cuminreach.node.control.ControlSession;
import org.cuminreach.node.peer.MeshView;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.node.target.TargetAnnouncer;
import org.cuminreach.node.tenant.KeyFreshness;
import org.cuminreach.node.tenant.NodeClocks;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.log.LogFormat;
import org.cuminreach.runtime.log.LogLevel;
import org.cuminreach.runtime.log.LogSettings;
import org.cuminreach.settings.Address;
import org.cuminreach.settings.MeshBounds;
import org.cuminreach.wire.frame.FrameEndpoints;
import org.cuminreach.wire.frame.TrafficCounter;

/** A node with a session to controls over the network, without its HTTP server for callers. */
final class NodeFixture implements AutoCloseable {
    private static final long IDLE_TIMEOUT_MILLIS = 3_000;
    private static final long TIMER_INTERVAL_MILLIS = 500;

    final ConfigurationHolder holder = ConfigurationHolder.empty();
    final MeshView view = MeshView.empty();
    final ControlSession session;
    final TargetAnnouncer announcer;
    private final EventLoopGroup eventLoops = EventLoops.start(1);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    NodeFixture(String name, List<Address> controls, long incarnation) {
        Address unused = new Address("127.0.0.1", 1);
        NodeSettings settings =
                new NodeSettings(
                        name,
                        "nidaros",
                        unused,
                        unused,
                        unused,
                        controls,
                        Optional.of(new NodeSettings.Target("service-0", "1", unused, 9)),
                        false,
                        LinkRate.unknown(),
                        500,
                        1_000,
                        MeshBounds.defaults(),
                        LogSettings.of(LogLevel.WARN, LogFormat.TEXT));
        announcer = TargetAnnouncer.create(settings, incarnation);
        FrameEndpoints endpoints =
                FrameEndpoints.create(eventLoops, TrafficCounter.zero(), IDLE_TIMEOUT_MILLIS);
        session =
                ControlSession.create(
                        settings,
                        holder,
                        KeyFreshness.create(holder, OptionalLong.empty(), NodeClocks::read),
                        view,
                        EvidenceRecorder.empty(),
                        announcer,
                        endpoints,
                        timer,
                        new Random(name.hashCode()));
        session.connect();
        timer.scheduleWithFixedDelay(
                () -> session.onTimer(ProcessClock.wallMillis()),
                TIMER_INTERVAL_MILLIS,
                TIMER_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    long version() {
        return holder.activeConfiguration().version();
    }

    int readyTargets() {
        return view.targets("service-0", "1").size();
    }

    void deregister() {
        announcer.setPhase(TargetPhase.GONE);
        session.announce();
    }

    @Override
    public void close() {
        session.stop();
        timer.shutdownNow();
        EventLoops.stop(eventLoops);
    }
}
