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
 * Decides when the leases of targets end, from what one control observes: its own sessions, and the
 * word of other controls for theirs. Many ends at once in one service or data centre are taken for
 * a partition and withheld. Not safe for use by several threads at once.
 */
public final class LeaseTable {
    private static final int PER_MILLE = 1_000;

    /** How long a node is vouched for, and since when its lease is over. */
    private record Lease(long expiresMillis, boolean suspect, Optional<Long> expiredSinceMillis) {}

    /** A lease that was ended a short while ago. */
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
     * @param settings settings of the leases
     * @return the table
     */
    public static LeaseTable empty(LeaseSettings settings) {
        return new LeaseTable(settings);
    }

    /**
     * Notes that a control, this one or another, has a session with a node.
     *
     * @param node name of the node
     * @param nowMillis present time
     */
    public void renew(String node, long nowMillis) {
        leases.put(
                node,
                new Lease(nowMillis + settings.connectedLeaseMillis(), false, Optional.empty()));
    }

    /**
     * Notes that a node's session with this control has closed.
     *
     * @param node name of the node
     * @param nowMillis present time
     */
    public void sessionClosed(String node, long nowMillis) {
        leases.put(
                node,
                new Lease(nowMillis + settings.disconnectedLeaseMillis(), true, Optional.empty()));
    }

    /**
     * Decides which leases have ended.
     *
     * @param nowMillis present time
     * @param inContact whether this control is in contact with a quorum; one that is cut off ends
     *     no lease
     * @param announced the latest announcements
     * @return what has ended and what is withheld
     */
    public LeaseDecision decide(
            long nowMillis, boolean inContact, Collection<Announcement> announced) {
        List<Announcement> alive =
                announced.stream().filter(announcement -> !announcement.isGone()).toList();
        removeStale(nowMillis, alive);
        boolean paused =
                lastDecisionMillis.isEmpty()
                        || nowMillis - lastDecisionMillis.get() > settings.processPauseMillis();
        lastDecisionMillis = Optional.of(nowMillis);
        if (paused || !inContact) {
            alive.forEach(announcement -> renew(announcement.node(), nowMillis));
            return new LeaseDecision(List.of(), List.of());
        }
        alive.forEach(announcement -> grantOrMarkExpired(announcement.node(), nowMillis));
        List<Announcement> over =
                alive.stream().filter(one -> leaseOf(one).expiresMillis() <= nowMillis).toList();
        return over.isEmpty()
                ? new LeaseDecision(List.of(), List.of())
                : decideExpired(nowMillis, alive, over);
    }

    private LeaseDecision decideExpired(
            long nowMillis, List<Announcement> alive, List<Announcement> over) {
        Set<String> herdServices = massExpiries(alive, Announcement::service);
        Set<String> herdDataCentres = massExpiries(alive, Announcement::dataCentre);
        List<Announcement> ended = new ArrayList<>();
        List<Announcement> withheld = new ArrayList<>();
        for (Announcement announcement : over) {
            boolean inHerd =
                    herdServices.contains(announcement.service())
                            || herdDataCentres.contains(announcement.dataCentre());
            long overSince = leaseOf(announcement).expiredSinceMillis().orElse(nowMillis);
            if (inHerd && nowMillis - overSince < settings.withholdMillis()) {
                withheld.add(announcement);
            } else {
                ended.add(announcement);
            }
        }
        for (Announcement announcement : ended) {
            leases.remove(announcement.node());
            recentExpiries.add(new RecentExpiry(announcement, nowMillis));
        }
        return new LeaseDecision(ended, withheld);
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
        Set<String> herds = new HashSet<>();
        lost.forEach(
                (name, count) -> {
                    if (isMassExpiry(count, members.get(name))) {
                        herds.add(name);
                    }
                });
        return herds;
    }

    private boolean isMassExpiry(int lost, int members) {
        return lost >= settings.massExpiryCount()
                && (long) lost * PER_MILLE > (long) members * settings.massExpiryPerMille();
    }

    /** Gives a node that nobody has vouched for yet its first lease; marks a lease that is over. */
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
