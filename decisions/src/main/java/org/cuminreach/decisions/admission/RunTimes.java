package org.cuminreach.decisions.admission;

import java.util.Map;
import org.cuminreach.decisions.routing.BoundedMaps;

/**
 * Typical running times of the calls of each route. Running times differ far more between routes
 * than within one, so a time says something about a target only relative to the typical time of the
 * route. Not thread-safe.
 */
public final class RunTimes {
    /** Number of tracked routes; beyond it the route that was added first is dropped. */
    private static final int MAX_ROUTES = 512;

    /** Weight of the latest call; the average adapts to a change within about twenty calls. */
    private static final double SMOOTHING = 0.05;

    /** Number of calls of a route from which its average is used. */
    private static final int MIN_CALLS = 5;

    private static final class RouteStatistics {
        private double meanMillis;
        private int calls;
    }

    private final Map<String, RouteStatistics> routes = BoundedMaps.withMaxSize(MAX_ROUTES);

    private RunTimes() {}

    /**
     * Returns an instance without any recorded calls.
     *
     * @return a new instance
     */
    public static RunTimes empty() {
        return new RunTimes();
    }

    /**
     * Records the running time of a call.
     *
     * @param route name of its route
     * @param millis running time, in milliseconds
     */
    public void record(String route, double millis) {
        RouteStatistics known = routes.get(route);
        if (known == null) {
            known = new RouteStatistics();
            routes.put(route, known);
        }
        known.calls++;
        double weight = Math.max(SMOOTHING, 1.0 / known.calls);
        known.meanMillis += weight * (millis - known.meanMillis);
    }

    /**
     * Returns the typical running time of the calls of a route.
     *
     * @param route name of the route
     * @return the average in milliseconds, or 0 when not known yet
     */
    public double typicalRunMillis(String route) {
        RouteStatistics known = routes.get(route);
        return known == null || known.calls < MIN_CALLS ? 0 : known.meanMillis;
    }

    /**
     * Compares a running time with the typical one.
     *
     * @param route name of the route
     * @param millis running time, in milliseconds
     * @return the ratio to the typical time, or 1 when that is not known yet
     */
    public double slowness(String route, double millis) {
        double typical = typicalRunMillis(route);
        return typical <= 0 ? 1 : millis / typical;
    }
}
