package org.cuminreach.node.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.decisions.membership.TargetRegistry;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.runtime.ProcessClock;

/** The targets as this node sees them: what was announced, and what its own calls met. */
public final class MeshView {
    private static final long DISTRUST_MILLIS = 2_000;
    private static final long REMEMBER_GONE_MILLIS = 3_600_000;

    /** What this node's own calls to a target met. */
    private static final class Experience {
        private final AtomicInteger outstanding = new AtomicInteger();
        private final AtomicLong distrustedUntilMillis = new AtomicLong();
    }

    private final TargetRegistry registry = TargetRegistry.empty();
    private final Map<String, Experience> experiences = new ConcurrentHashMap<>();
    private volatile Map<String, List<Announcement>> ready = Map.of();

    private MeshView() {}

    /**
     * Returns a view without targets.
     *
     * @return an empty view
     */
    public static MeshView empty() {
        return new MeshView();
    }

    /**
     * Merges announcements.
     *
     * @param announcements announcements in any order
     */
    public synchronized void merge(List<Announcement> announcements) {
        if (registry.merge(announcements).isEmpty()) {
            return;
        }
        registry.forgetGone(ProcessClock.monotonicMillis(), REMEMBER_GONE_MILLIS);
        Map<String, List<Announcement>> next = new ConcurrentHashMap<>();
        for (Announcement announcement : registry.all()) {
            if (announcement.phase() == TargetPhase.READY) {
                next.computeIfAbsent(
                                key(announcement.service(), announcement.version()),
                                key -> new ArrayList<>())
                        .add(announcement);
            }
        }
        ready = next;
    }

    /**
     * Returns the ready targets of a version.
     *
     * @param service name of the service
     * @param version name of the version
     * @return the targets, as of now
     */
    public List<TargetView> targets(String service, String version) {
        List<TargetView> targets = new ArrayList<>();
        for (Announcement announcement : ready.getOrDefault(key(service, version), List.of())) {
            Experience experience = experience(announcement.node());
            targets.add(
                    new TargetView(
                            announcement.node(),
                            announcement.dataCentre(),
                            announcement.inbound(),
                            announcement.slots(),
                            experience.outstanding.get(),
                            experience.distrustedUntilMillis.get()));
        }
        return targets;
    }

    /**
     * Notes that a call was sent to a target.
     *
     * @param node name of the node beside it
     */
    public void begun(String node) {
        experience(node).outstanding.incrementAndGet();
    }

    /**
     * Notes that a call to a target has ended.
     *
     * @param node name of the node beside it
     * @param reached false when the target's node could not be reached or lost the call
     * @param nowMillis present time
     */
    public void ended(String node, boolean reached, long nowMillis) {
        Experience experience = experience(node);
        experience.outstanding.decrementAndGet();
        experience.distrustedUntilMillis.set(reached ? 0 : nowMillis + DISTRUST_MILLIS);
    }

    /**
     * Returns how many targets are ready.
     *
     * @return ready targets of every service
     */
    public int readyCount() {
        return ready.values().stream().mapToInt(List::size).sum();
    }

    private Experience experience(String node) {
        return experiences.computeIfAbsent(node, name -> new Experience());
    }

    private static String key(String service, String version) {
        return service + "/" + version;
    }
}
