package org.cuminreach.decisions.routing;

import java.util.Map;

/**
 * Moving averages of the bytes that the calls of each route transfer, compared with those of all
 * calls. Not thread-safe.
 */
public final class CallSizes {
    /** Number of tracked routes; beyond it the route that was added first is dropped. */
    private static final int MAX_ROUTES = 512;

    /** Weight of the latest call; the average adapts to a change within about twenty calls. */
    private static final double SMOOTHING = 0.05;

    private final Map<String, Double> meanBytes = BoundedMaps.withMaxSize(MAX_ROUTES);
    private double allBytes;

    private CallSizes() {}

    /**
     * Returns sizes without any recorded call.
     *
     * @return empty sizes
     */
    public static CallSizes empty() {
        return new CallSizes();
    }

    /**
     * Records a call that was answered.
     *
     * @param route name of its route
     * @param bytes bytes of its request and its response together
     */
    public void record(String route, long bytes) {
        double known = meanBytes.getOrDefault(route, (double) bytes);
        meanBytes.put(route, known + SMOOTHING * (bytes - known));
        allBytes += SMOOTHING * (bytes - allBytes);
    }

    /**
     * Returns the average size of a route's calls relative to that of all calls.
     *
     * @param route name of the route
     * @return the ratio, or 1 when it is not known yet
     */
    public double relativeSize(String route) {
        Double known = meanBytes.get(route);
        return known == null || allBytes <= 0 ? 1 : known / allBytes;
    }
}
