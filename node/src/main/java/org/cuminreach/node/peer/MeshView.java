package org.cuminreach.node.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.EstablishedVersions;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.decisions.membership.TargetRegistry;
import org.cuminreach.decisions.routing.ColdNotice;
import org.cuminreach.decisions.routing.LoadBalancingPolicy;
import org.cuminreach.decisions.routing.TargetStatistics;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.runtime.ProcessClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The targets known to this node: their announcements, and statistics of this node's calls to them.
 */
public final class MeshView {
    private static final Logger LOGGER = LoggerFactory.getLogger(MeshView.class);
    private static final long GONE_RETENTION_MILLIS = 3_600_000;

    /** One start of a node's target; a later start has new statistics. */
    private record NodeInstance(String node, String instance) {}

    private final TargetRegistry registry = TargetRegistry.empty();
    private final EstablishedVersions establishedVersions = EstablishedVersions.empty();
    private final Map<NodeInstance, TargetStatistics> statistics = new HashMap<>();
    private Consumer<List<Announcement>> changeListener = changes -> {};
    private volatile ToDoubleFunction<String> coldRates = service -> 0;
    private volatile Map<String, Map<String, List<TargetView>>> readyTargets = Map.of();
    private volatile int readyCount;

    private final LoadBalancingPolicy loadBalancingPolicy;

    private MeshView(LoadBalancingPolicy loadBalancingPolicy) {
        this.loadBalancingPolicy = loadBalancingPolicy;
    }

    /**
     * Returns a view without targets.
     *
     * @return an empty view
     */
    public static MeshView empty() {
        return empty(LoadBalancingPolicy.forCheapLinks());
    }

    /**
     * Returns a view without targets, with a load balancing policy.
     *
     * @param loadBalancingPolicy the policy
     * @return the view
     */
    public static MeshView empty(LoadBalancingPolicy loadBalancingPolicy) {
        return new MeshView(loadBalancingPolicy);
    }

    /**
     * Returns the load balancing policy.
     *
     * @return the policy
     */
    public LoadBalancingPolicy loadBalancingPolicy() {
        return loadBalancingPolicy;
    }

    /**
     * Sets the listener for announcements that changed the view. It is called in their order, while
     * they are merged, and must not block.
     *
     * @param listener the listener
     */
    public synchronized void setChangeListener(Consumer<List<Announcement>> listener) {
        changeListener = listener;
    }

    /**
     * Sets what cold targets withstand.
     *
     * @param rates returns the calls per second for the name of a service, 0 without a limit
     */
    public void setColdRates(ToDoubleFunction<String> rates) {
        coldRates = rates;
    }

    /**
     * Merges announcements.
     *
     * @param announcements announcements in any order
     */
    public synchronized void merge(List<Announcement> announcements) {
        List<Announcement> changes = registry.merge(announcements);
        if (!changes.isEmpty()) {
            long nowMillis = ProcessClock.monotonicMillis();
            changeListener.accept(changes);
            registry.removeGone(nowMillis, GONE_RETENTION_MILLIS);
            rebuild(nowMillis);
            changes.forEach(announcement -> recordCold(announcement, nowMillis));
        }
    }

    /** Adopts the cold time of a target whose service has a limit for cold targets. */
    private void recordCold(Announcement announcement, long nowMillis) {
        TargetStatistics known = statistics.get(nodeInstance(announcement));
        double callsPerSecond = coldRates.applyAsDouble(announcement.service());
        if (known == null || callsPerSecond <= 0) {
            return;
        }
        Optional<ColdNotice> notice =
                announcement.coldMillis() > 0
                        ? Optional.of(new ColdNotice(announcement.coldMillis(), callsPerSecond))
                        : Optional.empty();
        known.recordCold(notice, nowMillis);
    }

    /**
     * Returns the pace of the ready target that has come least far since it started or recovered.
     *
     * @param nowMillis current time
     * @return the lowest share of its capacity for which a target counts, 1 when all count wholly
     */
    public double lowestPace(long nowMillis) {
        return readyTargets.values().stream()
                .flatMap(versions -> versions.values().stream())
                .flatMap(List::stream)
                .mapToDouble(target -> target.statistics().pace(nowMillis))
                .min()
                .orElse(1);
    }

    /**
     * Returns the number of ready targets that are cold.
     *
     * @param nowMillis current time
     * @return targets that are known to be cold and have a limit
     */
    public int coldCount(long nowMillis) {
        return (int)
                readyTargets.values().stream()
                        .flatMap(versions -> versions.values().stream())
                        .flatMap(List::stream)
                        .filter(target -> target.statistics().coldNotice(nowMillis).isPresent())
                        .count();
    }

    /**
     * Merges a complete list of announcements and marks the targets that it lacks as gone.
     *
     * @param announcements all announcements known to a control
     */
    public synchronized void mergeComplete(List<Announcement> announcements) {
        merge(announcements);
        List<Announcement> gone = registry.reconcile(announcements);
        if (!gone.isEmpty()) {
            LOGGER.info(
                    "event=targets_reconciled gone={}",
                    gone.stream().map(Announcement::node).toList());
            changeListener.accept(gone);
            rebuild(ProcessClock.monotonicMillis());
        }
    }

    private void rebuild(long nowMillis) {
        Map<String, Map<String, List<TargetView>>> next = new HashMap<>();
        Set<NodeInstance> present = new HashSet<>();
        for (Announcement announcement : registry.all()) {
            if (announcement.phase() == TargetPhase.READY) {
                next.computeIfAbsent(announcement.service(), service -> new HashMap<>())
                        .computeIfAbsent(announcement.version(), version -> new ArrayList<>())
                        .add(targetView(announcement, nowMillis));
                present.add(nodeInstance(announcement));
            }
        }
        establishedVersions.update(registry.all());
        statistics
                .entrySet()
                .removeIf(
                        entry ->
                                !present.contains(entry.getKey())
                                        && !isLeavingOfKnownNode(entry.getKey(), nowMillis));
        readyTargets = next;
        readyCount = present.size();
    }

    /** Tells whether a target that is not ready now could be announced as ready by mistake. */
    private boolean isLeavingOfKnownNode(NodeInstance target, long nowMillis) {
        return statistics.get(target).isLeaving(nowMillis)
                && registry.find(target.node()).isPresent();
    }

    /**
     * Returns the ready targets of a version.
     *
     * @param service name of the service
     * @param version name of the version
     * @return the current targets; must not be modified
     */
    public List<TargetView> targets(String service, String version) {
        return readyTargets.getOrDefault(service, Map.of()).getOrDefault(version, List.of());
    }

    /**
     * Returns the established version of a service, which is used when the document names none.
     *
     * @param service name of the service
     * @param rolledOut version that a rollout of the service moves its calls to, if there is one;
     *     returned only if no other version is known
     * @return the version, or an empty string when no target of the service was ever ready
     */
    public synchronized String establishedVersion(String service, Optional<String> rolledOut) {
        return establishedVersions.version(service, rolledOut).orElse("");
    }

    /**
     * Returns the number of ready targets.
     *
     * @return ready targets of all services
     */
    public int readyCount() {
        return readyCount;
    }

    private TargetView targetView(Announcement announcement, long nowMillis) {
        TargetStatistics targetStatistics =
                statistics.computeIfAbsent(
                        nodeInstance(announcement),
                        instance ->
                                TargetStatistics.cold(
                                        announcement.slots(), loadBalancingPolicy, nowMillis));
        targetStatistics.recordNodeIncarnation(announcement.incarnation());
        return new TargetView(
                announcement.node(),
                announcement.instance(),
                announcement.dataCentre(),
                announcement.inbound(),
                announcement.slots(),
                targetStatistics);
    }

    private static NodeInstance nodeInstance(Announcement announcement) {
        return new NodeInstance(announcement.node(), announcement.instance());
    }
}
