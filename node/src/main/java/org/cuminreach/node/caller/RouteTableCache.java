package org.cuminreach.node.caller;

import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.routing.RouteTable;

/** Caches the route table of the current configuration; rebuilt only for a new version. */
final class RouteTableCache {
    /**
     * A configuration and its route table.
     *
     * @param configuration the configuration
     * @param table its route table
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
        MeshConfiguration configuration = holder.activeConfiguration();
        Entry latest = cached;
        if (latest.configuration().version() != configuration.version()) {
            latest = new Entry(configuration, RouteTable.of(configuration.document()));
            cached = latest;
        }
        return latest;
    }
}
