package org.cuminreach.node.target;

import java.util.function.Supplier;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.settings.MeshBounds;

/**
 * What a node needs to know in order to spare a cold target.
 *
 * @param configuration supplies the configuration in force
 * @param dataCentre data centre of the node
 * @param bounds how far the calls to a cold target may exceed what it withstands
 */
public record ColdSettings(
        Supplier<MeshConfiguration> configuration, String dataCentre, MeshBounds.Cold bounds) {
    /**
     * Returns the settings of a node that knows of no cold limits.
     *
     * @return settings with an empty configuration
     */
    public static ColdSettings none() {
        return new ColdSettings(MeshConfiguration::empty, "", MeshBounds.defaults().cold());
    }
}
