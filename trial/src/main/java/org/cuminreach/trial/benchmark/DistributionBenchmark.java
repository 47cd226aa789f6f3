package org.cuminreach.trial.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cuminreach.decisions.configuration.ConfigurationDelta;
import org.cuminreach.decisions.configuration.ConfigurationDigest;
import org.cuminreach.decisions.configuration.ConfigurationHistory;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.OfferOutcome;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.LeaseDecision;
import org.cuminreach.decisions.membership.LeaseSettings;
import org.cuminreach.decisions.membership.LeaseTable;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Route;
import org.cuminreach.document.Service;
import org.cuminreach.settings.Address;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time of a configuration change on a node and of a lease check on a control. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DistributionBenchmark {
    private static final int TARGETS_PER_SERVICE = 5;
    private static final long DECISION_INTERVAL_MILLIS = 200;

    /** Number of services and of routes; each service has five targets. */
    @Param({"115", "460", "1200"})
    public int services;

    private MeshConfiguration first;
    private MeshConfiguration second;
    private ConfigurationDelta delta;
    private ConfigurationDigest digest;
    private boolean changed;
    private LeaseTable leases;
    private List<Announcement> announcements;
    private long nowMillis;

    /** Creates a configuration, a delta that changes one route, and the targets of all services. */
    @Setup
    public void prepare() {
        first = configuration(1, 5_000);
        ConfigurationHistory history = ConfigurationHistory.of(first);
        history.advance(configuration(2, 5_001));
        delta = history.deltaSince(1);
        second = delta.applyTo(first);
        digest = ConfigurationDigest.create();
        leases = LeaseTable.empty(LeaseSettings.defaults());
        announcements = new ArrayList<>();
        for (int number = 0; number < services * TARGETS_PER_SERVICE; number++) {
            announcements.add(announcement(number));
        }
    }

    /**
     * Applies a delta that changes one route.
     *
     * @return the outcome
     */
    @Benchmark
    public OfferOutcome applyDelta() {
        ConfigurationHolder holder = ConfigurationHolder.empty();
        holder.offer(first);
        return holder.offer(delta);
    }

    /**
     * Computes the digest after a change of one route.
     *
     * @return the digest
     */
    @Benchmark
    public long digestChange() {
        changed = !changed;
        return digest.compute(changed ? second : first);
    }

    /**
     * Computes the digest of a full configuration, without a previous one to build on.
     *
     * @return the digest
     */
    @Benchmark
    public long digestFull() {
        return ConfigurationDigest.of(first);
    }

    /**
     * Renews the lease of every node and checks all leases.
     *
     * @return the decision
     */
    @Benchmark
    public LeaseDecision decideLeases() {
        nowMillis += DECISION_INTERVAL_MILLIS;
        announcements.forEach(target -> leases.renew(target.node(), nowMillis));
        return leases.decide(nowMillis, true, announcements);
    }

    private MeshConfiguration configuration(long version, int timeoutMillis) {
        List<Service> serviceList = new ArrayList<>();
        List<Route> routes = new ArrayList<>();
        for (int number = 0; number < services; number++) {
            String name = "service-" + number;
            serviceList.add(Service.of(name, "1", Optional.empty()));
            int timeout = number == 0 ? timeoutMillis : 5_000;
            routes.add(Route.toService("r" + number, name + ".example", "/", name, timeout, false));
        }
        MeshDocument document = MeshDocument.of(serviceList, routes, RolloutPriority.SAFETY);
        return MeshConfiguration.of(version, version, document, "", List.of());
    }

    private static Announcement announcement(int number) {
        return new Announcement(
                "node-" + number,
                1,
                1,
                "service-" + number / TARGETS_PER_SERVICE,
                "1",
                "data-centre-" + number % 10,
                new Address("127.0.0.1", 7_000),
                9,
                TargetPhase.READY,
                "instance");
    }
}
