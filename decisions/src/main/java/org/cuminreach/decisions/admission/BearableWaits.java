package org.cuminreach.decisions.admission;

import java.util.Map;
import org.cuminreach.decisions.routing.BoundedMaps;

/**
 * How long the calls of each route can wait and still be on time. The calls of one priority share a
 * queue: where it grows to what the most patient route bears, the others find no place in it, so
 * that the least patient route with a real part of the calls sets the bound for all. Not safe for
 * use by several threads at once.
 */
final class BearableWaits {
    /** Routes that are remembered; the one that was added first gives way. */
    private static final int MOST_ROUTES = 128;

    /** Time over which calls are counted, in milliseconds. */
    private static final double COUNTED_MILLIS = 2_000;

    /** Part of a priority's calls from which a route counts. */
    private static final double LEAST_PART = 0.1;

    private static final double SMOOTHING = 0.1;

    /** What is known of a route. */
    private static final class Route {
        private int priority;
        private double meanMillis;
        private double calls;
        private long notedMillis;

        private double callsAt(long nowMillis) {
            return calls * Math.exp(-(nowMillis - notedMillis) / COUNTED_MILLIS);
        }
    }

    private final Map<String, Route> routes = BoundedMaps.withMaxSize(MOST_ROUTES);

    /** Notes an arrival and how long it can wait. */
    void arrived(Demand demand, double bearableMillis, long nowMillis) {
        Route route = routes.get(demand.route());
        if (route == null) {
            route = new Route();
            route.meanMillis = bearableMillis;
            routes.put(demand.route(), route);
        }
        route.priority = demand.rank();
        route.calls = route.callsAt(nowMillis) + 1;
        route.notedMillis = nowMillis;
        route.meanMillis += SMOOTHING * (bearableMillis - route.meanMillis);
    }

    /** Returns how long a queue of a priority may be, in milliseconds. */
    double shortestMillis(int priority, long nowMillis) {
        double all = 0;
        for (Route route : routes.values()) {
            all += route.priority == priority ? route.callsAt(nowMillis) : 0;
        }
        double shortest = Double.MAX_VALUE;
        for (Route route : routes.values()) {
            if (route.priority == priority && route.callsAt(nowMillis) >= LEAST_PART * all) {
                shortest = Math.min(shortest, route.meanMillis);
            }
        }
        return shortest;
    }
}
