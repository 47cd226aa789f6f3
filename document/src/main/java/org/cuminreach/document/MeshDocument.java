package org.cuminreach.document;

import java.util.List;
import java.util.Optional;

/**
 * One validated document. Immutable.
 *
 * @param revision the operators' own number of the document; 0 where they give none
 * @param services the services, in the operators' order
 * @param routes the routes, in the operators' order
 * @param rolloutPriority what rollouts favour when evidence is thin
 * @param limits what callers may send
 */
public record MeshDocument(
        long revision,
        List<Service> services,
        List<Route> routes,
        RolloutPriority rolloutPriority,
        CallerLimits limits) {
    /** Copies the lists. */
    public MeshDocument {
        services = List.copyOf(services);
        routes = List.copyOf(routes);
    }

    /**
     * Returns a document without a revision, with the standard limits.
     *
     * @param services the services, in the operators' order
     * @param routes the routes, in the operators' order
     * @param rolloutPriority what rollouts favour when evidence is thin
     * @return the document
     */
    public static MeshDocument of(
            List<Service> services, List<Route> routes, RolloutPriority rolloutPriority) {
        return new MeshDocument(0, services, routes, rolloutPriority, CallerLimits.defaults());
    }

    /**
     * Returns the document of a mesh that has none yet.
     *
     * @return a document without services and routes
     */
    public static MeshDocument empty() {
        return of(List.of(), List.of(), RolloutPriority.SAFETY);
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service, or empty
     */
    public Optional<Service> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }
}
