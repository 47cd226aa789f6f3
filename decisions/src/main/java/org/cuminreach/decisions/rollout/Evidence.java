package org.cuminreach.decisions.rollout;

/**
 * What nodes saw of one version of a service on one route, in one span of time.
 *
 * @param service name of the service
 * @param version name of the version
 * @param route name of the route
 * @param calls answered calls, failures included
 * @param failures calls that failed at the target
 * @param totalMicros sum of the answer times, in microseconds
 */
public record Evidence(
        String service, String version, String route, long calls, long failures, long totalMicros) {
    /**
     * Adds other evidence of the same version and route.
     *
     * @param other the other
     * @return the sum
     */
    public Evidence plus(Evidence other) {
        return new Evidence(
                service,
                version,
                route,
                calls + other.calls,
                failures + other.failures,
                totalMicros + other.totalMicros);
    }
}
