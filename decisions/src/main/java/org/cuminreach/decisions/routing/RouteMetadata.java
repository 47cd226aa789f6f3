package org.cuminreach.decisions.routing;

import org.cuminreach.document.Route;

/**
 * What the node of a target is told of a call's route; it travels with the call.
 *
 * @param route name of the route
 * @param priority its rank, 0 the highest
 * @param objectiveMillis time that is left for an answer that is on time, in milliseconds; at most
 *     0 when the call is late already, {@link #NO_OBJECTIVE} when the route has none
 */
public record RouteMetadata(String route, int priority, int objectiveMillis) {
    /** Time left to an objective that the route does not have. */
    public static final int NO_OBJECTIVE = Integer.MAX_VALUE;

    private static final char SEPARATOR = ';';

    /**
     * Returns the terms of a call.
     *
     * @param route its route
     * @param spentMillis time since the call came, in milliseconds
     * @return the terms
     */
    public static RouteMetadata of(Route route, long spentMillis) {
        int objective =
                route.latencyObjectiveMillis() == 0
                        ? NO_OBJECTIVE
                        : (int) Math.max(0, route.latencyObjectiveMillis() - spentMillis);
        return new RouteMetadata(route.name(), route.priority(), objective);
    }

    /**
     * Returns the form in which the terms travel.
     *
     * @return for example {@code shop;2;350}
     */
    public String text() {
        return route + SEPARATOR + priority + SEPARATOR + objectiveMillis;
    }

    /**
     * Reads terms.
     *
     * @param text what travelled; a name alone stands for a route of the highest priority without
     *     an objective
     * @return the terms
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
            // Another release may write terms of another form; the call is taken without them.
            return new RouteMetadata(text, 0, NO_OBJECTIVE);
        }
    }
}
