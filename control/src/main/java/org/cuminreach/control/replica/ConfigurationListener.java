package org.cuminreach.control.replica;

import org.cuminreach.decisions.configuration.MeshConfiguration;

/** Hears of every change of the agreed configuration, in order. */
@FunctionalInterface
public interface ConfigurationListener {
    /**
     * The configuration changed.
     *
     * @param configuration the new one
     */
    void onConfigurationChanged(MeshConfiguration configuration);
}
