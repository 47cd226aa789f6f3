package org.cuminreach.runtime.administration;

import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Registers histograms of times. */
public final class Histograms {
    /** Upper bounds of the times of whole calls, in seconds: from a quick answer to a timeout. */
    private static final double[] CALL_DURATION_BUCKETS_SECONDS = {
        0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5
    };

    private Histograms() {}

    /**
     * Registers a histogram of the times of calls.
     *
     * @param registry where it is read
     * @param name its name
     * @param help what it tells
     * @return the histogram
     */
    public static Histogram registerCallDurations(
            PrometheusRegistry registry, String name, String help) {
        return register(registry, name, help, CALL_DURATION_BUCKETS_SECONDS);
    }

    /**
     * Registers a histogram of times.
     *
     * @param registry where it is read
     * @param name its name
     * @param help what it tells
     * @param upperBounds upper bounds of its buckets, in seconds
     * @return the histogram
     */
    public static Histogram register(
            PrometheusRegistry registry, String name, String help, double... upperBounds) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(upperBounds)
                .register(registry);
    }
}
