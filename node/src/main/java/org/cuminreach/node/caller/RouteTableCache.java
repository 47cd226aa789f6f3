package org.cuminreach.node.caller;

import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.routing.RouteTable;
import org.cuminreach.decisions.tenant.ApiKeyTable;
import org.cuminreach.decisions.tenant.CallPriorities;

/** Caches the tables of the current configuration; rebuilt only for a new version. */
final class RouteTableCache {
    /**
     * A configuration and its tables.
     *
     * @param configuration the configuration
     * @param table its route table
     * @param keys its tenants by API key
     * @param priorities ranks of its calls
     */
    record Entry(
            MeshConfiguration configuration,
            RouteTable table,
            ApiKeyTable keys,
            CallPriorities priorities) {
        private static Entry of(MeshConfiguration configuration) {
            return new Entry(
                    configuration,
                    RouteTable.of(configuration.document()),
                    ApiKeyTable.of(configuration.document()),
                    CallPriorities.of(configuration.document()));
        }
    }

    private final ConfigurationHolder holder;
    private volatile Entry cached = Entry.of(MeshConfiguration.empty());

    RouteTableCache(ConfigurationHolder holder) {
        this.holder = holder;
    }

    Entry current() {
        MeshConfiguration configuration = holder.activeConfiguration();
        Entry latest = cached;
        if (latest.configuration().version() != configuration.version()) {
            latest = Entry.of(configuration);
            cached = latest;
        }
        return latest;
    }
}
