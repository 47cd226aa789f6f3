package org.cuminreach.node.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.EstablishedVersions;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.decisions.membership.TargetRegistry;
import org.cuminreach.decisions.routing.LoadBalancingPolicy;
import org.cuminreach.decisions.routing.TargetStatistics;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.runtime.ProcessClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The targets as this node sees them: what was announced, and what its own calls met. */
public final class MeshView {
    private static final Logger LOGGER = LoggerFactory.getLogger(MeshView.class);
    private static final long GONE_RETENTION_MILLIS = 3_600_000;

    /** One process of a node; a later process of the same name starts without experience. */
    private record NodeInstance(String node, String instance) {}

    private final TargetRegistry registry = TargetRegistry.empty();
    private final EstablishedVersions established = EstablishedVersions.empty();
    private final Map<NodeInstance, TargetStatistics> statistics = new HashMap<>();
    private Consumer<List<Announcement>> changeListener = news -> {};
    private volatile Map<String, Map<String, List<TargetView>>> readyTargets = Map.of();

    private final LoadBalancingPolicy loadBalancingPolicy;

    private MeshView(LoadBalancingPolicy placement) {
        this.loadBalancingPolicy = placement;
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
     * Returns a view without targets, for a placement.
     *
     * @param placement how calls are placed
     * @return the view
     */
    public static MeshView empty(LoadBalancingPolicy placement) {
        return new MeshView(placement);
    }

    /**
     * Returns how calls are placed.
     *
     * @return the placement
     */
    public LoadBalancingPolicy loadBalancingPolicy() {
        return loadBalancingPolicy;
    }

    /**
     * Names who is told of announcements that are news, in their order.
     *
     * @param listener is called while announcements are merged; must not block
     */
    public synchronized void setChangeListener(Consumer<List<Announcement>> listener) {
        changeListener = listener;
    }

    /**
     * Merges announcements.
     *
     * @param announcements announcements in any order
     */
    public synchronized void merge(List<Announcement> announcements) {
        List<Announcement> news = registry.merge(announcements);
        if (!news.isEmpty()) {
            long nowMillis = ProcessClock.monotonicMillis();
            changeListener.accept(news);
            registry.removeGone(nowMillis, GONE_RETENTION_MILLIS);
            rebuild(nowMillis);
        }
    }

    /**
     * Merges the announcements of a control that names all its targets, and ends the others.
     *
     * @param announcements every announcement that the control knows
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
        established.update(registry.all());
        statistics.keySet().retainAll(present);
        readyTargets = next;
    }

    /**
     * Returns the ready targets of a version.
     *
     * @param service name of the service
     * @param version name of the version
     * @return the targets, as of now; not to be changed
     */
    public List<TargetView> targets(String service, String version) {
        return readyTargets.getOrDefault(service, Map.of()).getOrDefault(version, List.of());
    }

    /**
     * Returns the version that a service runs where its document names none.
     *
     * @param service name of the service
     * @return the version, or an empty text when no target of it was ever ready
     */
    public synchronized String establishedVersion(String service) {
        return established.version(service).orElse("");
    }

    /**
     * Returns how many targets are ready.
     *
     * @return ready targets of every service
     */
    public int readyCount() {
        return readyTargets.values().stream()
                .flatMap(versions -> versions.values().stream())
                .mapToInt(List::size)
                .sum();
    }

    private TargetView targetView(Announcement announcement, long nowMillis) {
        TargetStatistics experience =
                statistics.computeIfAbsent(
                        nodeInstance(announcement),
                        process ->
                                TargetStatistics.cold(
                                        announcement.slots(), loadBalancingPolicy, nowMillis));
        return new TargetView(
                announcement.node(),
                announcement.instance(),
                announcement.dataCentre(),
                announcement.inbound(),
                announcement.slots(),
                experience);
    }

    private static NodeInstance nodeInstance(Announcement announcement) {
        return new NodeInstance(announcement.node(), announcement.instance());
    }
}
