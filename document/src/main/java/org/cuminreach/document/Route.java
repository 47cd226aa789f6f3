package org.cuminreach.document;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A rule that sends calls to a service, or to several by weight. Among the routes of a host, the
 * longest matching path prefix wins.
 *
 * @param name unique name
 * @param host value of the Host header, without port
 * @param pathPrefix path prefix, starting with a slash
 * @param destinations the services that answer, each with its weight; one at least
 * @param timeoutMillis time a call may take in all, in milliseconds
 * @param idempotence which calls may be run more than once
 * @param maxAttempts most targets that one call may be sent to
 * @param latencyObjectiveMillis time within which an answer is of full use, in milliseconds
 * @param priority rank among the routes; 0 is the most urgent
 * @param kind the operators' own word for the calls of the route, kept for them and of no effect;
 *     empty where they give none
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
        String kind) {
    /** Targets that one call may be sent to where the document does not say. */
    public static final int DEFAULT_MAX_ATTEMPTS = 3;

    private static final int SINGLE_DESTINATION_WEIGHT = 1;

    /** Copies the destinations. */
    public Route {
        destinations = List.copyOf(destinations);
    }

    /**
     * Returns a route to one service that leaves all else as it is by default.
     *
     * @param name unique name
     * @param host value of the Host header, without port
     * @param pathPrefix path prefix, starting with a slash
     * @param service name of the service that answers
     * @param timeoutMillis time a call may take in all, in milliseconds
     * @param idempotent true when every call may be run more than once
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
                "");
    }

    /**
     * Returns the destinations of a route to one service.
     *
     * @param service its name
     * @return one destination
     */
    public static List<WeightedService> singleDestination(String service) {
        return List.of(new WeightedService(service, SINGLE_DESTINATION_WEIGHT));
    }

    /**
     * Tells whether the route splits its traffic.
     *
     * @return whether more than one service answers
     */
    public boolean isSplit() {
        return destinations.size() > 1;
    }

    /**
     * Draws the service of one call by the weights.
     *
     * @param random source of the draw
     * @return name of the service
     */
    public String selectService(RandomGenerator random) {
        if (!isSplit()) {
            return destinations.getFirst().service();
        }
        int total = destinations.stream().mapToInt(WeightedService::weight).sum();
        int drawn = random.nextInt(Math.max(1, total));
        for (WeightedService destination : destinations) {
            drawn -= destination.weight();
            if (drawn < 0) {
                return destination.service();
            }
        }
        return destinations.getLast().service();
    }
}
