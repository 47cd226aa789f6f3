package org.cuminreach.node.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.document.Route;

/**
 * Since when the home regions of routes have not changed. A change moves the home nodes of
 * idempotency keys, so that an earlier outcome may be unknown to the new ones. Thread-safe.
 */
final class HomeChanges {
    private record Homes(List<String> regions, long sinceMillis) {}

    private Map<String, Homes> routes = Map.of();
    private long version;

    /**
     * Returns the time since which the homes of a route have not changed.
     *
     * @param configuration the current configuration
     * @param route the route
     * @param wallMillis current wall-clock time
     * @return the time; 0 when they are those of the first configuration or the route never had any
     */
    synchronized long since(MeshConfiguration configuration, Route route, long wallMillis) {
        if (configuration.version() > version) {
            update(configuration, wallMillis);
        }
        Homes homes = routes.get(route.name());
        return homes == null ? 0 : homes.sinceMillis();
    }

    private void update(MeshConfiguration configuration, long wallMillis) {
        boolean isFirst = version == 0;
        Map<String, Homes> next = new HashMap<>();
        for (Route route : configuration.document().routes()) {
            List<String> regions = route.access().homeRegions();
            Homes before = routes.get(route.name());
            if (before != null && before.regions().equals(regions)) {
                next.put(route.name(), before);
            } else if (before != null || !regions.isEmpty()) {
                next.put(route.name(), new Homes(regions, isFirst ? 0 : wallMillis));
            }
        }
        routes = next;
        version = configuration.version();
    }
}
