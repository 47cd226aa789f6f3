package org.cuminreach.decisions.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Decides when the leases of targets expire, from the sessions of this control and the reports of
 * other controls about theirs. Many expiries together in one service or data centre are treated as
 * a network partition and withheld. Not thread-safe.
 */
public final class LeaseTable {
    private static final int PER_MILLE = 1_000;

    /** The lease of a node: when it expires, and since when it was seen to be expired. */
    private record Lease(long expiresMillis, boolean suspect, Optional<Long> expiredSinceMillis) {}

    /** A lease that expired within the mass expiry window. */
    private record RecentExpiry(Announcement announcement, long atMillis) {}

    private final LeaseSettings settings;
    private final Map<String, Lease> leases = new HashMap<>();
    private final List<RecentExpiry> recentExpiries = new ArrayList<>();
    private Optional<Long> lastDecisionMillis = Optional.empty();

    private LeaseTable(LeaseSettings settings) {
        this.settings = settings;
    }

    /**
     * Returns a table without leases.
     *
     * @param settings settings for the leases
     * @return the table
     */
    public static LeaseTable empty(LeaseSettings settings) {
        return new LeaseTable(settings);
    }

    /**
     * Renews the lease of a node that has a session with this control or another one.
     *
     * @param node name of the node
     * @param nowMillis current time
     */
    public void renew(String node, long nowMillis) {
        leases.put(
                node,
                new Lease(nowMillis + settings.connectedLeaseMillis(), false, Optional.empty()));
    }

    /**
     * Records that a node's session with this control has closed.
     *
     * @param node name of the node
     * @param nowMillis current time
     */
    public void recordSessionClosed(String node, long nowMillis) {
        leases.put(
                node,
                new Lease(nowMillis + settings.disconnectedLeaseMillis(), true, Optional.empty()));
    }

    /**
     * Decides which leases have expired. No lease expires after a pause of this process, since
     * renewals may have been missed in it.
     *
     * @param nowMillis current time
     * @param hasQuorum whether this control is in contact with a quorum; without one no lease
     *     expires
     * @param announced the latest announcements
     * @return the targets whose leases have expired, and those that are withheld
     */
    public LeaseDecision decide(
            long nowMillis, boolean hasQuorum, Collection<Announcement> announced) {
        List<Announcement> alive =
                announced.stream().filter(announcement -> !announcement.isGone()).toList();
        removeStale(nowMillis, alive);
        boolean paused =
                lastDecisionMillis.isEmpty()
                        || nowMillis - lastDecisionMillis.get() > settings.processPauseMillis();
        lastDecisionMillis = Optional.of(nowMillis);
        if (paused || !hasQuorum) {
            alive.forEach(announcement -> renew(announcement.node(), nowMillis));
            return new LeaseDecision(List.of(), List.of());
        }
        alive.forEach(announcement -> grantOrMarkExpired(announcement.node(), nowMillis));
        List<Announcement> unrenewed =
                alive.stream().filter(one -> leaseOf(one).expiresMillis() <= nowMillis).toList();
        return unrenewed.isEmpty()
                ? new LeaseDecision(List.of(), List.of())
                : decideExpired(nowMillis, alive, unrenewed);
    }

    private LeaseDecision decideExpired(
            long nowMillis, List<Announcement> alive, List<Announcement> unrenewed) {
        Set<String> massExpiryServices = massExpiries(alive, Announcement::service);
        Set<String> massExpiryDataCentres = massExpiries(alive, Announcement::dataCentre);
        List<Announcement> expired = new ArrayList<>();
        List<Announcement> withheld = new ArrayList<>();
        for (Announcement announcement : unrenewed) {
            boolean inMassExpiry =
                    massExpiryServices.contains(announcement.service())
                            || massExpiryDataCentres.contains(announcement.dataCentre());
            long expiredSince = leaseOf(announcement).expiredSinceMillis().orElse(nowMillis);
            if (inMassExpiry && nowMillis - expiredSince < settings.withholdMillis()) {
                withheld.add(announcement);
            } else {
                expired.add(announcement);
            }
        }
        for (Announcement announcement : expired) {
            leases.remove(announcement.node());
            recentExpiries.add(new RecentExpiry(announcement, nowMillis));
        }
        return new LeaseDecision(expired, withheld);
    }

    private Set<String> massExpiries(
            List<Announcement> alive, Function<Announcement, String> group) {
        Map<String, Integer> members = new HashMap<>();
        Map<String, Integer> lost = new HashMap<>();
        for (Announcement announcement : alive) {
            members.merge(group.apply(announcement), 1, Integer::sum);
            if (leaseOf(announcement).suspect()) {
                lost.merge(group.apply(announcement), 1, Integer::sum);
            }
        }
        for (RecentExpiry recent : recentExpiries) {
            members.merge(group.apply(recent.announcement()), 1, Integer::sum);
            lost.merge(group.apply(recent.announcement()), 1, Integer::sum);
        }
        Set<String> massExpiries = new HashSet<>();
        lost.forEach(
                (name, count) -> {
                    if (isMassExpiry(count, members.get(name))) {
                        massExpiries.add(name);
                    }
                });
        return massExpiries;
    }

    private boolean isMassExpiry(int lost, int members) {
        return lost >= settings.massExpiryCount()
                && (long) lost * PER_MILLE > (long) members * settings.massExpiryPerMille();
    }

    /** Grants a node its first lease, or marks its lease as expired. */
    private void grantOrMarkExpired(String node, long nowMillis) {
        Lease known = leases.get(node);
        if (known == null) {
            renew(node, nowMillis);
        } else if (known.expiresMillis() <= nowMillis && known.expiredSinceMillis().isEmpty()) {
            leases.put(node, new Lease(known.expiresMillis(), true, Optional.of(nowMillis)));
        }
    }

    private void removeStale(long nowMillis, List<Announcement> alive) {
        Set<String> names = new HashSet<>();
        alive.forEach(announcement -> names.add(announcement.node()));
        leases.keySet().retainAll(names);
        recentExpiries.removeIf(
                recent ->
                        names.contains(recent.announcement().node())
                                || nowMillis - recent.atMillis()
                                        > settings.massExpiryWindowMillis());
    }

    private Lease leaseOf(Announcement announcement) {
        return leases.get(announcement.node());
    }
}
