package org.cuminreach.node.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminreach.decisions.idempotency.KeyHomes;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.decisions.routing.TargetFilter;
import org.cuminreach.settings.Address;

/** Home nodes of idempotency keys, updated by target announcements. Thread-safe. */
public final class KeyHomeTable {
    /**
     * Home node of a key.
     *
     * @param node name of the node
     * @param inbound address at which it accepts calls from other nodes
     * @param sinceMillis wall-clock time since which it has been the home node
     */
    record Home(String node, Address inbound, long sinceMillis) {}

    private record ReadyNode(Address inbound, String dataCentre) {}

    /** Ready nodes of one service. */
    private static final class ServiceNodes {
        private final Map<String, ReadyNode> readyNodes = new TreeMap<>();
        private final KeyHomes homes = KeyHomes.empty();

        private void update(long wallMillis) {
            Map<String, String> dataCentres = new HashMap<>();
            readyNodes.forEach((name, node) -> dataCentres.put(name, node.dataCentre()));
            homes.updateNodes(dataCentres, wallMillis);
        }
    }

    private final Map<String, ServiceNodes> services = new HashMap<>();

    private KeyHomeTable() {}

    /**
     * Creates a table without services.
     *
     * @return an empty table
     */
    public static KeyHomeTable empty() {
        return new KeyHomeTable();
    }

    /**
     * Applies new announcements.
     *
     * @param announcements the announcements that changed the known targets
     * @param wallMillis current wall-clock time
     */
    public synchronized void apply(List<Announcement> announcements, long wallMillis) {
        for (Announcement announcement : announcements) {
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
                        nodes.readyNodes.put(
                                        announcement.node(),
                                        new ReadyNode(
                                                announcement.inbound(), announcement.dataCentre()))
                                == null;
                if (joined) {
                    nodes.update(wallMillis);
                }
            }
        }
    }

    /** Returns the home node of a key, among those that its call and body may be sent to. */
    synchronized Optional<Home> home(
            String service, String key, TargetFilter filter, long wallMillis) {
        ServiceNodes nodes = services.get(service);
        if (nodes == null) {
            return Optional.empty();
        }
        long sinceMillis = nodes.homes.homeSince(key, filter::isHome, wallMillis);
        return nodes.homes
                .home(key, filter::isHome)
                .map(node -> new Home(node, nodes.readyNodes.get(node).inbound(), sinceMillis));
    }

    private static void remove(ServiceNodes nodes, String node, long wallMillis) {
        if (nodes.readyNodes.remove(node) != null) {
            nodes.update(wallMillis);
        }
    }
}
