package org.cuminreach.document;

import java.util.List;
import java.util.Optional;

/**
 * An immutable, validated mesh document.
 *
 * @param revision document number assigned by the operators; 0 when they give none
 * @param services the services, in the operators' order
 * @param routes the routes, in the operators' order
 * @param rolloutPriority preference of rollouts when there is little evidence
 * @param limits limits on callers' requests
 * @param tenants the tenants, in the operators' order; empty when callers need no API key
 */
public record MeshDocument(
        long revision,
        List<Service> services,
        List<Route> routes,
        RolloutPriority rolloutPriority,
        CallerLimits limits,
        List<Tenant> tenants) {
    /** Copies the lists. */
    public MeshDocument {
        services = List.copyOf(services);
        routes = List.copyOf(routes);
        tenants = List.copyOf(tenants);
    }

    /**
     * Returns a document without a revision and with the default limits.
     *
     * @param services the services, in the operators' order
     * @param routes the routes, in the operators' order
     * @param rolloutPriority preference of rollouts when there is little evidence
     * @return the document
     */
    public static MeshDocument of(
            List<Service> services, List<Route> routes, RolloutPriority rolloutPriority) {
        return new MeshDocument(
                0, services, routes, rolloutPriority, CallerLimits.defaults(), List.of());
    }

    /**
     * Returns the initial document of a mesh.
     *
     * @return a document without services and routes
     */
    public static MeshDocument empty() {
        return of(List.of(), List.of(), RolloutPriority.SAFETY);
    }

    /**
     * Tells whether callers need an API key on routes that are not public.
     *
     * @return true when the document has tenants
     */
    public boolean requiresKeys() {
        return !tenants.isEmpty();
    }

    /**
     * Finds a service.
     *
     * @param name name of the service
     * @return the service, or empty when the document does not declare it
     */
    public Optional<Service> service(String name) {
        for (Service service : services) {
            if (service.name().equals(name)) {
                return Optional.of(service);
            }
        }
        return Optional.empty();
    }
}
