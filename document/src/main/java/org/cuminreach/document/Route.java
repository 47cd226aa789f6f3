package org.cuminreach.document;

import java.util.List;

/**
 * A rule that routes calls to one service, or splits them among several by weight. Among the routes
 * of a host, the one with the longest matching path prefix applies.
 *
 * @param name unique name
 * @param host value of the Host header, without port
 * @param pathPrefix path prefix, starting with a slash
 * @param destinations the services that receive the calls, each with its weight; at least one
 * @param timeoutMillis total time limit of a call, in milliseconds
 * @param idempotence rule that selects the calls that may be executed more than once
 * @param maxAttempts maximum number of targets that one call may be sent to
 * @param latencyObjectiveMillis latency objective; an answer within this time has its full value,
 *     in milliseconds
 * @param priority priority of the calls; 0 is the highest
 * @param kind label that the operators give to the calls of the route, stored without any effect;
 *     empty when they give none
 * @param access who may call the route and where its calls may be handled
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        List<WeightedService> destinations,
        int timeoutMillis,
        Idempotence idempotence,
        int maxAttempts,
        int latencyObjectiveMillis,
        int priority,
        String kind,
        RouteAccess access) {
    /** Maximum number of attempts when the document does not specify one. */
    public static final int DEFAULT_MAX_ATTEMPTS = 3;

    private static final int SINGLE_DESTINATION_WEIGHT = 1;

    /** Copies the destinations. */
    public Route {
        destinations = List.copyOf(destinations);
    }

    /**
     * Returns a route to one service with defaults for all other fields.
     *
     * @param name unique name
     * @param host value of the Host header, without port
     * @param pathPrefix path prefix, starting with a slash
     * @param service name of the service that receives the calls
     * @param timeoutMillis total time limit of a call, in milliseconds
     * @param idempotent true when every call may be executed more than once
     * @return the route
     */
    public static Route toService(
            String name,
            String host,
            String pathPrefix,
            String service,
            int timeoutMillis,
            boolean idempotent) {
        return new Route(
                name,
                host,
                pathPrefix,
                singleDestination(service),
                timeoutMillis,
                idempotent ? Idempotence.ALWAYS : Idempotence.BY_METHOD,
                DEFAULT_MAX_ATTEMPTS,
                timeoutMillis,
                0,
                "",
                RouteAccess.unrestricted());
    }

    /**
     * Returns the text that the digest of a configuration covers. An unrestricted access is left
     * out, so that processes that know no access compute the same digest.
     */
    @Override
    public String toString() {
        String known =
                "Route[name="
                        + name
                        + ", host="
                        + host
                        + ", pathPrefix="
                        + pathPrefix
                        + ", destinations="
                        + destinations
                        + ", timeoutMillis="
                        + timeoutMillis
                        + ", idempotence="
                        + idempotence
                        + ", maxAttempts="
                        + maxAttempts
                        + ", latencyObjectiveMillis="
                        + latencyObjectiveMillis
                        + ", priority="
                        + priority
                        + ", kind="
                        + kind;
        return access.equals(RouteAccess.unrestricted())
                ? known + "]"
                : known + ", access=" + access + "]";
    }

    /**
     * Returns the destination list of a route to one service.
     *
     * @param service name of the service
     * @return a list of one destination
     */
    public static List<WeightedService> singleDestination(String service) {
        return List.of(new WeightedService(service, SINGLE_DESTINATION_WEIGHT));
    }

    /**
     * Returns whether the route splits its traffic.
     *
     * @return true when there is more than one destination
     */
    public boolean isSplit() {
        return destinations.size() > 1;
    }

    /**
     * Selects the service for one call. Positions that are spread evenly select the services in
     * proportion to the weights.
     *
     * @param position position of the call, from 0 to less than 1
     * @return name of the service
     */
    public String selectService(double position) {
        if (!isSplit()) {
            return destinations.getFirst().service();
        }
        int total = destinations.stream().mapToInt(WeightedService::weight).sum();
        int drawn = (int) (position * total);
        for (WeightedService destination : destinations) {
            drawn -= destination.weight();
            if (drawn < 0) {
                return destination.service();
            }
        }
        return destinations.getLast().service();
    }
}
