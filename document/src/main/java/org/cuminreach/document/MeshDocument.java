package org.cuminreach.document;

import java.util.List;
import java.util.Optional;

/**
 * One validated document. Immutable.
 *
 * @param services the services, in the operators' order
 * @param routes the routes, in the operators' order
 * @param rolloutPriority what rollouts favour when evidence is thin
 */
public record MeshDocument(
        List<Service> services, List<Route> routes, RolloutPriority rolloutPriority) {
    /** Copies the lists. */
    public MeshDocument {
        services = List.copyOf(services);
        routes = List.copyOf(routes);
    }

    /**
     * Returns the document of a mesh that has none yet.
     *
     * @return a document without services and routes
     */
    public static MeshDocument empty() {
        return new MeshDocument(List.of(), List.of(), RolloutPriority.SAFETY);
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
