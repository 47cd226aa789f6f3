package org.cuminreach.decisions.configuration;

import java.util.List;
import org.cuminreach.document.CallerLimits;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Route;
import org.cuminreach.document.Service;
import org.cuminreach.document.Tenant;

/**
 * The difference between a configuration version and a later one. With base version 0 it contains
 * the full configuration. The document text is not transferred; it is empty in a configuration that
 * was built from a delta.
 *
 * @param baseVersion version that the delta applies to; 0 for the empty configuration
 * @param version version of the result
 * @param documentVersion document version of the result
 * @param rolloutPriority the document's rollout priority
 * @param services changes of the services
 * @param routes changes of the routes
 * @param rollouts changes of the rollout states, keyed by service
 * @param digest digest of the result
 * @param revision revision number that the operators gave the document
 * @param limits limits on what callers may send
 * @param tenants changes of the tenants
 * @param evacuatedDataCentres all data centres that are evacuated in the result
 */
public record ConfigurationDelta(
        long baseVersion,
        long version,
        long documentVersion,
        RolloutPriority rolloutPriority,
        KeyedChanges<Service> services,
        KeyedChanges<Route> routes,
        KeyedChanges<RolloutProgress> rollouts,
        long digest,
        long revision,
        CallerLimits limits,
        KeyedChanges<Tenant> tenants,
        List<String> evacuatedDataCentres) {
    /** Copies the list. */
    public ConfigurationDelta {
        evacuatedDataCentres = List.copyOf(evacuatedDataCentres);
    }

    /**
     * Returns whether the delta contains the full configuration.
     *
     * @return true if it needs no base
     */
    public boolean isFull() {
        return baseVersion == 0;
    }

    /**
     * Applies the delta without validating the result.
     *
     * @param base configuration of the base version
     * @return the later configuration
     */
    public MeshConfiguration applyTo(MeshConfiguration base) {
        MeshDocument document =
                new MeshDocument(
                        revision,
                        services.applyTo(base.document().services(), Service::name),
                        routes.applyTo(base.document().routes(), Route::name),
                        rolloutPriority,
                        limits,
                        tenants.applyTo(base.document().tenants(), Tenant::name));
        return new MeshConfiguration(
                version,
                documentVersion,
                document,
                "",
                rollouts.applyTo(base.rollouts(), RolloutProgress::service),
                evacuatedDataCentres);
    }
}
