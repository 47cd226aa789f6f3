package org.cuminreach.node.caller;

import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.routing.RouteTable;

/** The routes of the configuration in force, built once for each version. */
final class RouteTableCache {
    /**
     * A configuration and its routes.
     *
     * @param configuration the configuration
     * @param table its routes
     */
    record Entry(MeshConfiguration configuration, RouteTable table) {}

    private final ConfigurationHolder holder;
    private volatile Entry cached =
            new Entry(
                    MeshConfiguration.empty(), RouteTable.of(MeshConfiguration.empty().document()));

    RouteTableCache(ConfigurationHolder holder) {
        this.holder = holder;
    }

    Entry current() {
        MeshConfiguration inForce = holder.inForce();
        Entry latest = cached;
        if (latest.configuration().version() != inForce.version()) {
            latest = new Entry(inForce, RouteTable.of(inForce.document()));
            cached = latest;
        }
        return latest;
    }
}
