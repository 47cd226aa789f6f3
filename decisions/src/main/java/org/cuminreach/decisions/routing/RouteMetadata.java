package org.cuminreach.decisions.routing;

import org.cuminreach.document.Route;

/**
 * Route of a call, as sent in a header to the node of the target.
 *
 * @param route name of the route
 * @param priority rank of the call, 0 being the highest; its route's priority unless its tenant's
 *     goes before
 * @param objectiveMillis time left until the latency objective, in milliseconds; at most 0 when the
 *     call is late already, {@link #NO_OBJECTIVE} when the route has none
 */
public record RouteMetadata(String route, int priority, int objectiveMillis) {
    /** Value of {@link #objectiveMillis} for a route without latency objective. */
    public static final int NO_OBJECTIVE = Integer.MAX_VALUE;

    private static final char SEPARATOR = ';';

    /**
     * Returns the route metadata of a call.
     *
     * @param route its route
     * @param priority rank of the call, 0 being the highest
     * @param elapsedMillis time since the call arrived, in milliseconds
     * @return the metadata
     */
    public static RouteMetadata of(Route route, int priority, long elapsedMillis) {
        int objective =
                route.latencyObjectiveMillis() == 0
                        ? NO_OBJECTIVE
                        : (int) Math.max(0, route.latencyObjectiveMillis() - elapsedMillis);
        return new RouteMetadata(route.name(), priority, objective);
    }

    /**
     * Returns the metadata of the same call some time later.
     *
     * @param elapsedMillis time since, in milliseconds
     * @return the metadata with what is left until the objective
     */
    public RouteMetadata after(long elapsedMillis) {
        return objectiveMillis == NO_OBJECTIVE
                ? this
                : new RouteMetadata(
                        route, priority, (int) Math.max(0, objectiveMillis - elapsedMillis));
    }

    /**
     * Returns the header value.
     *
     * @return the value, for example {@code shop;2;350}
     */
    public String text() {
        return route + SEPARATOR + priority + SEPARATOR + objectiveMillis;
    }

    /**
     * Parses a header value.
     *
     * @param text the value; a name alone stands for a route of the highest priority without
     *     objective
     * @return the metadata
     */
    public static RouteMetadata parse(String text) {
        int last = text.lastIndexOf(SEPARATOR);
        int first = last < 0 ? -1 : text.lastIndexOf(SEPARATOR, last - 1);
        if (first < 0) {
            return new RouteMetadata(text, 0, NO_OBJECTIVE);
        }
        try {
            return new RouteMetadata(
                    text.substring(0, first),
                    Integer.parseInt(text, first + 1, last, 10),
                    Integer.parseInt(text, last + 1, text.length(), 10));
        } catch (NumberFormatException malformed) {
            // Another release may write another format; the call is accepted without objective.
            return new RouteMetadata(text, 0, NO_OBJECTIVE);
        }
    }
}
