package org.cuminreach.decisions.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The latest announcement of each node. Merging is commutative and idempotent, so the order in
 * which announcements arrive, and over which control, does not matter. Safe for use by several
 * threads.
 */
public final class TargetRegistry {
    /** The latest announcement, the revision that brought it, and when it was first seen gone. */
    private record Entry(
            Announcement announcement, long revision, Optional<Long> goneSinceMillis) {}

    private static final int MAX_MISSING_DIVISOR = 3;

    private final Map<String, Entry> latest = new HashMap<>();
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
            Entry known = latest.get(announcement.node());
            if (known == null || announcement.isLaterThan(known.announcement())) {
                put(announcement, revision + 1);
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
        Entry known = latest.get(node);
        boolean alive =
                known != null
                        && known.announcement().incarnation() == incarnation
                        && !known.announcement().isGone();
        if (!alive) {
            return Optional.empty();
        }
        Announcement gone =
                known.announcement().withPhase(TargetPhase.GONE, known.announcement().sequence());
        revision++;
        put(gone, revision);
        return Optional.of(gone);
    }

    /**
     * Ends what a complete list does not name: targets that went while nobody could tell. A list
     * that lacks more than a third of the targets known here is not believed.
     *
     * @param complete every target that a control knows which has been in contact for a while
     * @return the targets that are gone
     */
    public synchronized List<Announcement> reconcile(Collection<Announcement> complete) {
        Set<String> named = complete.stream().map(Announcement::node).collect(Collectors.toSet());
        List<Announcement> alive = all().stream().filter(known -> !known.isGone()).toList();
        List<Announcement> missing =
                alive.stream().filter(known -> !named.contains(known.node())).toList();
        if (missing.size() * MAX_MISSING_DIVISOR > alive.size()) {
            return List.of();
        }
        return missing.stream()
                .map(lost -> expire(lost.node(), lost.incarnation()))
                .flatMap(Optional::stream)
                .toList();
    }

    /**
     * Forgets targets that have been gone for long, so that the registry stays bounded.
     *
     * @param nowMillis present time
     * @param keepMillis how long a target that is gone is remembered, in milliseconds
     * @return names of the nodes that were forgotten
     */
    public synchronized List<String> removeGone(long nowMillis, long keepMillis) {
        List<String> forgotten = new ArrayList<>();
        for (Map.Entry<String, Entry> known : latest.entrySet()) {
            Entry entry = known.getValue();
            if (!entry.announcement().isGone()) {
                continue;
            }
            if (entry.goneSinceMillis().isEmpty()) {
                known.setValue(
                        new Entry(entry.announcement(), entry.revision(), Optional.of(nowMillis)));
            } else if (nowMillis - entry.goneSinceMillis().get() >= keepMillis) {
                forgotten.add(known.getKey());
            }
        }
        forgotten.forEach(latest::remove);
        return forgotten;
    }

    /**
     * Finds the latest announcement of a node.
     *
     * @param node its name
     * @return the announcement, or empty when the node is not known
     */
    public synchronized Optional<Announcement> find(String node) {
        return Optional.ofNullable(latest.get(node)).map(Entry::announcement);
    }

    /**
     * Returns every latest announcement, also of targets that are gone.
     *
     * @return a copy
     */
    public synchronized List<Announcement> all() {
        return latest.values().stream().map(Entry::announcement).toList();
    }

    /**
     * Returns the latest announcements that came after a revision.
     *
     * @param earlier the revision; a negative one stands for the beginning
     * @return one announcement a node at most
     */
    public synchronized List<Announcement> changedSince(long earlier) {
        return latest.values().stream()
                .filter(entry -> entry.revision() > earlier)
                .map(Entry::announcement)
                .toList();
    }

    /**
     * Returns the number of the registry's latest change.
     *
     * @return a number that grows with each change
     */
    public synchronized long revision() {
        return revision;
    }

    private void put(Announcement announcement, long atRevision) {
        latest.put(announcement.node(), new Entry(announcement, atRevision, Optional.empty()));
    }
}
