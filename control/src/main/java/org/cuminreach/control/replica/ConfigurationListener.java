package org.cuminreach.control.replica;

import org.cuminreach.decisions.configuration.MeshConfiguration;

/**
 * Receives the committed configuration when it has changed, in the order of the changes. Of several
 * changes that are applied together only the latest is received.
 */
@FunctionalInterface
public interface ConfigurationListener {
    /**
     * Called after the configuration changed.
     *
     * @param configuration the new configuration
     */
    void onConfigurationChanged(MeshConfiguration configuration);
}
