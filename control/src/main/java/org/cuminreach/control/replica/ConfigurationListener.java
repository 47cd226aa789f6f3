package org.cuminreach.control.replica;

import org.cuminreach.decisions.configuration.MeshConfiguration;

/** Receives every change of the committed configuration, in order. */
@FunctionalInterface
public interface ConfigurationListener {
    /**
     * Called after the configuration changed.
     *
     * @param configuration the new configuration
     */
    void onConfigurationChanged(MeshConfiguration configuration);
}
