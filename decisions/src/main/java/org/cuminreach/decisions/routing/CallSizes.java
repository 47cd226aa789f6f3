package org.cuminreach.decisions.routing;

import java.util.Map;

/**
 * How many bytes the calls of each route move, beside those of all calls. Not safe for use by
 * several threads at once.
 */
public final class CallSizes {
    /** Routes that are remembered; the one that was added first gives way. */
    private static final int MAX_ROUTES = 512;

    /** Weight of the latest call: an average follows a change within some twenty calls. */
    private static final double SMOOTHING = 0.05;

    private final Map<String, Double> meanBytes = BoundedMaps.withMaxSize(MAX_ROUTES);
    private double allBytes;

    private CallSizes() {}

    /**
     * Returns sizes that know no route.
     *
     * @return the sizes
     */
    public static CallSizes unknown() {
        return new CallSizes();
    }

    /**
     * Notes a call that was answered.
     *
     * @param route name of its route
     * @param bytes bytes of its request and its answer
     */
    public void record(String route, long bytes) {
        double known = meanBytes.getOrDefault(route, (double) bytes);
        meanBytes.put(route, known + SMOOTHING * (bytes - known));
        allBytes += SMOOTHING * (bytes - allBytes);
    }

    /**
     * Compares the calls of a route with all calls.
     *
     * @param route name of the route
     * @return how often the bytes of an average call fit into one of the route, or 1 when that is
     *     not known yet
     */
    public double relativeSize(String route) {
        Double known = meanBytes.get(route);
        return known == null || allBytes <= 0 ? 1 : known / allBytes;
    }
}
