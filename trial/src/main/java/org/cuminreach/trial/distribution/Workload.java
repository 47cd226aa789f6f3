package org.cuminreach.trial.distribution;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The documents that the measurement submits. */
final class Workload {
    /** Services of the mesh. */
    static final int SERVICES = 460;

    /** Data centres of the mesh. */
    static final int DATA_CENTRES = 10;

    private Workload() {}

    /** Writes a document in which one route's timeout follows from the round. */
    static String document(int services, int round) {
        return document(services, round, 1);
    }

    /** Writes a document in which every route's timeout follows from the round. */
    static String documentWithAllRoutesChanged(int services, int round) {
        return document(services, round, services);
    }

    private static String document(int services, int round, int changing) {
        String listed =
                IntStream.range(0, services)
                        .mapToObj(
                                number ->
                                        "{\"name\": \"service-%d\", \"version\": \"1\"}"
                                                .formatted(number))
                        .collect(Collectors.joining(",\n"));
        String routes =
                IntStream.range(0, services)
                        .mapToObj(
                                number -> route(number, number < changing ? 5_000 + round : 5_000))
                        .collect(Collectors.joining(",\n"));
        return "{\"services\": [" + listed + "],\n\"routes\": [" + routes + "]}";
    }

    private static String route(int number, int timeoutMillis) {
        return ("{\"name\": \"route-%d\", \"host\": \"service-%d.example\","
                        + " \"service\": \"service-%d\", \"timeoutMillis\": %d}")
                .formatted(number, number, number, timeoutMillis);
    }
}
