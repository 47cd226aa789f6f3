package org.cuminreach.control.replica;

import org.cuminreach.decisions.configuration.MeshConfiguration;

/** Hears of every change of the agreed configuration, in order. */
@FunctionalInterface
public interface MeshListener {
    /**
     * The configuration changed.
     *
     * @param configuration the new one
     */
    void changed(MeshConfiguration configuration);
}
