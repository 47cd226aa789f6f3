package org.cuminreach.node.caller;

import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.routing.RouteTable;

/** The routes of the configuration in force, built once for each version. */
final class RoutesInForce {
    /**
     * A configuration and its routes.
     *
     * @param configuration the configuration
     * @param table its routes
     */
    record Routes(MeshConfiguration configuration, RouteTable table) {}

    private final ConfigurationHolder holder;
    private volatile Routes known =
            new Routes(
                    MeshConfiguration.empty(), RouteTable.of(MeshConfiguration.empty().document()));

    RoutesInForce(ConfigurationHolder holder) {
        this.holder = holder;
    }

    Routes current() {
        MeshConfiguration inForce = holder.activeConfiguration();
        Routes latest = known;
        if (latest.configuration().version() != inForce.version()) {
            latest = new Routes(inForce, RouteTable.of(inForce.document()));
            known = latest;
        }
        return latest;
    }
}
