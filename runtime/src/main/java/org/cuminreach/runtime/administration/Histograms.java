package org.cuminreach.runtime.administration;

import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Registers histograms of durations. */
public final class Histograms {
    /** Upper bounds of the buckets of call durations, from a quick answer to a timeout. */
    private static final double[] CALL_DURATION_BUCKETS_SECONDS = {
        0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5
    };

    private Histograms() {}

    /**
     * Registers a histogram of call durations.
     *
     * @param registry registry of the process
     * @param name name of the metric
     * @param help description of the metric
     * @return the histogram
     */
    public static Histogram registerCallDurations(
            PrometheusRegistry registry, String name, String help) {
        return register(registry, name, help, CALL_DURATION_BUCKETS_SECONDS);
    }

    /**
     * Registers a histogram of durations.
     *
     * @param registry registry of the process
     * @param name name of the metric
     * @param help description of the metric
     * @param upperBounds upper bounds of the buckets, in seconds
     * @return the histogram
     */
    public static Histogram register(
            PrometheusRegistry registry, String name, String help, double... upperBounds) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(upperBounds)
                .withoutExemplars()
                .register(registry);
    }
}
