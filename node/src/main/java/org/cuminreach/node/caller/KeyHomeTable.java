package org.cuminreach.node.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminreach.decisions.idempotency.KeyHomes;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.settings.Address;

/** The homes of keys, kept up with the announcements of targets. Safe for several threads. */
public final class KeyHomeTable {
    /**
     * The home of a key.
     *
     * @param node name of the node
     * @param inbound address where it takes calls of other nodes
     * @param sinceMillis wall-clock time since which it is the home
     */
    record Home(String node, Address inbound, long sinceMillis) {}

    /** The ready nodes of one service. */
    private static final class ServiceNodes {
        private final Map<String, Address> readyNodes = new TreeMap<>();
        private final KeyHomes homes = KeyHomes.none();
    }

    private final Map<String, ServiceNodes> services = new HashMap<>();

    private KeyHomeTable() {}

    /**
     * Returns a table without services.
     *
     * @return an empty table
     */
    public static KeyHomeTable empty() {
        return new KeyHomeTable();
    }

    /**
     * Takes announcements that were news.
     *
     * @param news the announcements
     * @param wallMillis present wall-clock time
     */
    public synchronized void apply(List<Announcement> news, long wallMillis) {
        for (Announcement announcement : news) {
            boolean isReady = announcement.phase() == TargetPhase.READY;
            services.forEach(
                    (service, nodes) -> {
                        if (!isReady || !service.equals(announcement.service())) {
                            remove(nodes, announcement.node(), wallMillis);
                        }
                    });
            if (isReady) {
                ServiceNodes nodes =
                        services.computeIfAbsent(
                                announcement.service(), name -> new ServiceNodes());
                boolean joined =
                        nodes.readyNodes.put(announcement.node(), announcement.inbound()) == null;
                if (joined) {
                    nodes.homes.change(nodes.readyNodes.keySet(), wallMillis);
                }
            }
        }
    }

    /** Finds the home of a key. */
    synchronized Optional<Home> home(String service, String key, long wallMillis) {
        ServiceNodes nodes = services.get(service);
        if (nodes == null) {
            return Optional.empty();
        }
        long since = nodes.homes.homeSince(key, wallMillis);
        return nodes.homes.home(key).map(node -> new Home(node, nodes.readyNodes.get(node), since));
    }

    private static void remove(ServiceNodes nodes, String node, long wallMillis) {
        if (nodes.readyNodes.remove(node) != null) {
            nodes.homes.change(nodes.readyNodes.keySet(), wallMillis);
        }
    }
}
