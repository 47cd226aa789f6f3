package org.cuminreach.trial.distribution;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Documents that the measurements submit. */
final class Workload {
    /** Number of services in the mesh. */
    static final int SERVICES = 460;

    /** Number of data centres in the mesh. */
    static final int DATA_CENTRES = 10;

    private Workload() {}

    /** Returns a document in which the timeout of the first route depends on the round. */
    static String document(int services, int round) {
        return document(services, round, 1);
    }

    /** Returns a document in which the timeout of every route depends on the round. */
    static String documentWithAllRoutesChanged(int services, int round) {
        return document(services, round, services);
    }

    private static String document(int services, int round, int changedRoutes) {
        String serviceList =
                IntStream.range(0, services)
                        .mapToObj(
                                number ->
                                        "{\"name\": \"service-%d\", \"version\": \"1\"}"
                                                .formatted(number))
                        .collect(Collectors.joining(",\n"));
        String routes =
                IntStream.range(0, services)
                        .mapToObj(
                                number ->
                                        route(
                                                number,
                                                number < changedRoutes ? 5_000 + round : 5_000))
                        .collect(Collectors.joining(",\n"));
        return "{\"services\": [" + serviceList + "],\n\"routes\": [" + routes + "]}";
    }

    private static String route(int number, int timeoutMillis) {
        return ("{\"name\": \"route-%d\", \"host\": \"service-%d.example\","
                        + " \"service\": \"service-%d\", \"timeoutMillis\": %d}")
                .formatted(number, number, number, timeoutMillis);
    }
}
