package org.cuminreach.decisions.admission;

import java.util.Map;
import org.cuminreach.decisions.routing.BoundedMaps;

/**
 * Tolerable wait of the calls of each route, that is, how long they can wait and still be on time.
 * The calls of one priority share a queue. If it grew to the longest tolerable wait of any route,
 * calls of the other routes would find no room in it. The shortest tolerable wait among the routes
 * with a relevant share of the calls therefore bounds the queue. Not thread-safe.
 */
final class TolerableWaits {
    /** Number of tracked routes; beyond it the route that was added first is dropped. */
    private static final int MAX_ROUTES = 128;

    /** Time constant with which counted calls decay, in milliseconds. */
    private static final double CALL_RATE_DECAY_MILLIS = 2_000;

    /** Share of a priority's calls from which a route is taken into account. */
    private static final double MIN_CALL_SHARE = 0.1;

    private static final double SMOOTHING = 0.1;

    private static final class RouteStatistics {
        private int priority;
        private double meanTolerableMillis;
        private double calls;
        private long updatedMillis;

        private double callsAt(long nowMillis) {
            return calls * Math.exp(-(nowMillis - updatedMillis) / CALL_RATE_DECAY_MILLIS);
        }
    }

    private final Map<String, RouteStatistics> routes = BoundedMaps.withMaxSize(MAX_ROUTES);

    /** Records the arrival of a call and its tolerable wait. */
    void recordArrival(AdmissionRequest request, double tolerableMillis, long nowMillis) {
        RouteStatistics route = routes.get(request.route());
        if (route == null) {
            route = new RouteStatistics();
            route.meanTolerableMillis = tolerableMillis;
            routes.put(request.route(), route);
        }
        route.priority = request.clampedPriority();
        route.calls = route.callsAt(nowMillis) + 1;
        route.updatedMillis = nowMillis;
        route.meanTolerableMillis += SMOOTHING * (tolerableMillis - route.meanTolerableMillis);
    }

    /** Returns the limit on the wait in the queue of a priority, in milliseconds. */
    double maxQueueMillis(int priority, long nowMillis) {
        double calls = 0;
        for (RouteStatistics route : routes.values()) {
            calls += route.priority == priority ? route.callsAt(nowMillis) : 0;
        }
        double shortest = Double.MAX_VALUE;
        for (RouteStatistics route : routes.values()) {
            if (route.priority == priority && route.callsAt(nowMillis) >= MIN_CALL_SHARE * calls) {
                shortest = Math.min(shortest, route.meanTolerableMillis);
            }
        }
        return shortest;
    }
}
