package org.cuminreach.control.homes;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminreach.control.replica.ConfigurationListener;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.routing.UnknownHomeRegions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Warns of routes and tenants with a home region that no data centre is in. Thread-safe. */
public final class HomeRegionReporter implements ConfigurationListener {
    private static final Logger LOGGER = LoggerFactory.getLogger(HomeRegionReporter.class);
    private static final int MAX_LOGGED = 20;

    private final Set<String> knownRegions;
    private long documentVersion;

    private HomeRegionReporter(Set<String> knownRegions) {
        this.knownRegions = knownRegions;
    }

    /**
     * Creates a reporter.
     *
     * @param knownRegions regions of all data centres
     * @return the reporter
     */
    public static HomeRegionReporter create(Collection<String> knownRegions) {
        return new HomeRegionReporter(Set.copyOf(knownRegions));
    }

    @Override
    public synchronized void onConfigurationChanged(MeshConfiguration configuration) {
        if (configuration.documentVersion() == documentVersion) {
            return;
        }
        documentVersion = configuration.documentVersion();
        Map<String, List<String>> unknown =
                UnknownHomeRegions.find(configuration.document(), knownRegions);
        unknown.entrySet().stream()
                .limit(MAX_LOGGED)
                .forEach(
                        entry ->
                                LOGGER.warn(
                                        "event=home_region_unknown path={} regions={} found={}",
                                        entry.getKey(),
                                        entry.getValue(),
                                        unknown.size()));
    }
}
