package org.cuminreach.decisions.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The latest announcement of each node. Merging is commutative and idempotent, so the order in
 * which announcements arrive, and over which control, does not matter. Safe for use by several
 * threads.
 */
public final class TargetRegistry {
    private final Map<String, Announcement> latest = new HashMap<>();
    private long revision;

    private TargetRegistry() {}

    /**
     * Returns a registry without targets.
     *
     * @return an empty registry
     */
    public static TargetRegistry empty() {
        return new TargetRegistry();
    }

    /**
     * Merges announcements.
     *
     * @param announcements announcements in any order
     * @return those that were news
     */
    public synchronized List<Announcement> merge(Collection<Announcement> announcements) {
        List<Announcement> news = new ArrayList<>();
        for (Announcement announcement : announcements) {
            Announcement known = latest.get(announcement.node());
            if (known == null || announcement.isLaterThan(known)) {
                latest.put(announcement.node(), announcement);
                news.add(announcement);
            }
        }
        if (!news.isEmpty()) {
            revision++;
        }
        return news;
    }

    /**
     * Ends a node's lease.
     *
     * @param node name of the node
     * @param incarnation the process whose lease ended; a later process keeps its own
     * @return the announcement that says so, or empty when there was nothing to end
     */
    public synchronized Optional<Announcement> expire(String node, long incarnation) {
        Announcement known = latest.get(node);
        boolean alive =
                known != null
                        && known.incarnation() == incarnation
                        && known.phase() != TargetPhase.GONE;
        if (!alive) {
            return Optional.empty();
        }
        Announcement gone = known.with(TargetPhase.GONE, known.sequence() + 1);
        latest.put(node, gone);
        revision++;
        return Optional.of(gone);
    }

    /**
     * Returns every latest announcement, also of targets that are gone.
     *
     * @return a copy
     */
    public synchronized List<Announcement> all() {
        return List.copyOf(latest.values());
    }

    /**
     * Returns the number of the registry's latest change.
     *
     * @return a number that grows with each change
     */
    public synchronized long revision() {
        return revision;
    }
}
