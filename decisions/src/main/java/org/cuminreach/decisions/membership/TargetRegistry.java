package org.cuminreach.decisions.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The latest announcement of each node. Merging is commutative and idempotent, so that it does not
 * matter in which order and through which controls announcements arrive. Thread-safe.
 */
public final class TargetRegistry {
    /** The latest announcement, its revision, and when the target was first seen to be gone. */
    private record Entry(
            Announcement announcement, long revision, Optional<Long> goneSinceMillis) {}

    /** Number of draining starts remembered for a node. */
    private static final int MAX_DRAINING_STARTS = 16;

    private static final int MAX_MISSING_DIVISOR = 3;

    private final Map<String, Entry> latest = new HashMap<>();
    private final Map<String, Deque<String>> drainingStarts = new HashMap<>();
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
     * Merges announcements. A start of a target that was announced as draining does not become
     * ready again, even if a later process of its node announces it so.
     *
     * @param announcements announcements in any order
     * @return those that were later than the known ones
     */
    public synchronized List<Announcement> merge(Collection<Announcement> announcements) {
        List<Announcement> changes = new ArrayList<>();
        for (Announcement announcement : announcements) {
            Entry known = latest.get(announcement.node());
            boolean isLater = known == null || announcement.isLaterThan(known.announcement());
            boolean isNewlyDraining = recordIfDraining(announcement);
            if (isLater || isNewlyDraining) {
                Announcement merged = keepDraining(isLater ? announcement : known.announcement());
                if (isLater || !merged.equals(known.announcement())) {
                    put(merged, revision + 1);
                    changes.add(merged);
                }
            }
        }
        if (!changes.isEmpty()) {
            revision++;
        }
        return changes;
    }

    /**
     * Marks the target of a node as gone because its lease has expired.
     *
     * @param node name of the node
     * @param incarnation the process whose lease expired; a later process is not affected
     * @return the resulting announcement, or empty when nothing changed
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
     * Marks targets as gone that a complete list does not contain, such as those whose end was not
     * reported to this node. A list that lacks more than a third of the known targets is ignored.
     *
     * @param complete all targets known to a control that has been in contact for a while
     * @return the targets that are now gone
     */
    public synchronized List<Announcement> reconcile(Collection<Announcement> complete) {
        Set<String> listed = complete.stream().map(Announcement::node).collect(Collectors.toSet());
        List<Announcement> alive = all().stream().filter(known -> !known.isGone()).toList();
        List<Announcement> missing =
                alive.stream().filter(known -> !listed.contains(known.node())).toList();
        if (missing.size() * MAX_MISSING_DIVISOR > alive.size()) {
            return List.of();
        }
        return missing.stream()
                .map(target -> expire(target.node(), target.incarnation()))
                .flatMap(Optional::stream)
                .toList();
    }

    /**
     * Removes targets that have been gone for a long time, so that the registry stays bounded.
     *
     * @param nowMillis current time
     * @param retentionMillis time for which a target that is gone is kept, in milliseconds
     * @return names of the nodes that were removed
     */
    public synchronized List<String> removeGone(long nowMillis, long retentionMillis) {
        List<String> removed = new ArrayList<>();
        for (Map.Entry<String, Entry> known : latest.entrySet()) {
            Entry entry = known.getValue();
            if (!entry.announcement().isGone()) {
                continue;
            }
            if (entry.goneSinceMillis().isEmpty()) {
                known.setValue(
                        new Entry(entry.announcement(), entry.revision(), Optional.of(nowMillis)));
            } else if (nowMillis - entry.goneSinceMillis().get() >= retentionMillis) {
                removed.add(known.getKey());
            }
        }
        removed.forEach(latest::remove);
        removed.forEach(drainingStarts::remove);
        return removed;
    }

    /**
     * Returns the latest announcement of a node.
     *
     * @param node name of the node
     * @return the announcement, or empty when the node is not known
     */
    public synchronized Optional<Announcement> find(String node) {
        return Optional.ofNullable(latest.get(node)).map(Entry::announcement);
    }

    /**
     * Returns the latest announcements, including those of targets that are gone.
     *
     * @return a copy
     */
    public synchronized List<Announcement> all() {
        return latest.values().stream().map(Entry::announcement).toList();
    }

    /**
     * Returns the latest announcements that arrived after a revision.
     *
     * @param earlier the revision; a negative one returns all announcements
     * @return at most one announcement per node
     */
    public synchronized List<Announcement> changedSince(long earlier) {
        return latest.values().stream()
                .filter(entry -> entry.revision() > earlier)
                .map(Entry::announcement)
                .toList();
    }

    /**
     * Returns the revision of the registry.
     *
     * @return a number that increases with each change
     */
    public synchronized long revision() {
        return revision;
    }

    /** Remembers the start of a draining target, and tells whether it was not known to drain. */
    private boolean recordIfDraining(Announcement announcement) {
        if (announcement.phase() != TargetPhase.DRAINING
                || !Announcement.identifiesStart(announcement.node(), announcement.instance())) {
            return false;
        }
        Deque<String> starts =
                drainingStarts.computeIfAbsent(announcement.node(), node -> new ArrayDeque<>());
        if (starts.contains(announcement.instance())) {
            return false;
        }
        starts.addLast(announcement.instance());
        if (starts.size() > MAX_DRAINING_STARTS) {
            starts.removeFirst();
        }
        return true;
    }

    private Announcement keepDraining(Announcement announcement) {
        boolean isDraining =
                announcement.phase() == TargetPhase.READY
                        && drainingStarts
                                .getOrDefault(announcement.node(), new ArrayDeque<>())
                                .contains(announcement.instance());
        return isDraining
                ? announcement.withPhase(TargetPhase.DRAINING, announcement.sequence())
                : announcement;
    }

    private void put(Announcement announcement, long newRevision) {
        latest.put(announcement.node(), new Entry(announcement, newRevision, Optional.empty()));
    }
}
