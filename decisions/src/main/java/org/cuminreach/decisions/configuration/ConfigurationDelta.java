package org.cuminreach.decisions.configuration;

import org.cuminreach.document.CallerLimits;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Route;
import org.cuminreach.document.Service;

/**
 * What leads from one configuration version to a later one. With base version 0 it is whole. The
 * operators' text does not travel; a configuration made from a delta has an empty one.
 *
 * @param baseVersion version that it starts from; 0 for the empty configuration
 * @param version version that it leads to
 * @param documentVersion document version that it leads to
 * @param rolloutPriority the document's rollout priority
 * @param services services that differ
 * @param routes routes that differ
 * @param rollouts states of rollouts that differ, named by service
 * @param digest digest of the result
 * @param revision the operators' own number of the document
 * @param limits what callers may send
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
        CallerLimits limits) {
    /**
     * Tells whether the delta carries the whole configuration.
     *
     * @return true when it needs no base
     */
    public boolean isFull() {
        return baseVersion == 0;
    }

    /**
     * Applies the delta, without judging the result.
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
                        limits);
        return new MeshConfiguration(
                version,
                documentVersion,
                document,
                "",
                rollouts.applyTo(base.rollouts(), RolloutProgress::service));
    }
}
