package org.cuminreach.decisions.admission;

import java.util.Map;
import org.cuminreach.decisions.routing.BoundedMaps;

/**
 * How long the calls of each route usually run. Calls of different routes differ by far more than
 * calls of one, so a time says something about a target only beside what is usual for its route.
 * Not safe for use by several threads at once.
 */
public final class ServiceTimes {
    /** Routes that are remembered; the one that was added first gives way. */
    private static final int MAX_ROUTES = 512;

    /** Weight of the latest call: the average follows a change within some twenty calls. */
    private static final double SMOOTHING = 0.05;

    /** Calls of a route after which its average counts as known. */
    private static final int MIN_CALLS = 5;

    /** Times of one route. */
    private static final class RouteStatistics {
        private double meanMillis;
        private int calls;
    }

    private final Map<String, RouteStatistics> routes = BoundedMaps.ofMost(MAX_ROUTES);

    private ServiceTimes() {}

    /**
     * Returns times that know no route.
     *
     * @return the times
     */
    public static ServiceTimes unknown() {
        return new ServiceTimes();
    }

    /**
     * Notes how long a call ran.
     *
     * @param route name of its route
     * @param millis how long, in milliseconds
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
     * Returns how long a call of a route usually runs.
     *
     * @param route name of the route
     * @return its average in milliseconds, or 0 when it is not known yet
     */
    public double typicalRunMillis(String route) {
        RouteStatistics known = routes.get(route);
        return known == null || known.calls < MIN_CALLS ? 0 : known.meanMillis;
    }

    /**
     * Compares a time with what is usual.
     *
     * @param route name of the route
     * @param millis a time, in milliseconds
     * @return how often the usual time fits into it, or 1 when that is not known yet
     */
    public double slowness(String route, double millis) {
        double usual = typicalRunMillis(route);
        return usual <= 0 ? 1 : millis / usual;
    }
}
