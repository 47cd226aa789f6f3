package org.cuminreach.decisions.admission;

import java.util.Map;
import org.cuminreach.decisions.routing.BoundedMaps;

/**
 * How long the calls of each route can wait and still be on time. The calls of one priority share a
 * queue: where it grows to what the most patient route bears, the others find no place in it, so
 * that the least patient route with a real part of the calls sets the bound for all. Not safe for
 * use by several threads at once.
 */
final class TolerableWaits {
    /** Routes that are remembered; the one that was added first gives way. */
    private static final int MAX_ROUTES = 128;

    /** Time over which calls are counted, in milliseconds. */
    private static final double CALL_RATE_DECAY_MILLIS = 2_000;

    /** Part of a priority's calls from which a route counts. */
    private static final double MIN_CALL_SHARE = 0.1;

    private static final double SMOOTHING = 0.1;

    /** What is known of a route. */
    private static final class RouteStatistics {
        private int priority;
        private double meanTolerableMillis;
        private double calls;
        private long updatedMillis;

        private double callsAt(long nowMillis) {
            return calls * Math.exp(-(nowMillis - updatedMillis) / CALL_RATE_DECAY_MILLIS);
        }
    }

    private final Map<String, RouteStatistics> routes = BoundedMaps.ofMost(MAX_ROUTES);

    /** Notes an arrival and how long it can wait. */
    void recordArrival(AdmissionRequest demand, double bearableMillis, long nowMillis) {
        RouteStatistics route = routes.get(demand.route());
        if (route == null) {
            route = new RouteStatistics();
            route.meanTolerableMillis = bearableMillis;
            routes.put(demand.route(), route);
        }
        route.priority = demand.rank();
        route.calls = route.callsAt(nowMillis) + 1;
        route.updatedMillis = nowMillis;
        route.meanTolerableMillis += SMOOTHING * (bearableMillis - route.meanTolerableMillis);
    }

    /** Returns how long a queue of a priority may be, in milliseconds. */
    double maxQueueMillis(int priority, long nowMillis) {
        double all = 0;
        for (RouteStatistics route : routes.values()) {
            all += route.priority == priority ? route.callsAt(nowMillis) : 0;
        }
        double shortest = Double.MAX_VALUE;
        for (RouteStatistics route : routes.values()) {
            if (route.priority == priority && route.callsAt(nowMillis) >= MIN_CALL_SHARE * all) {
                shortest = Math.min(shortest, route.meanTolerableMillis);
            }
        }
        return shortest;
    }
}
