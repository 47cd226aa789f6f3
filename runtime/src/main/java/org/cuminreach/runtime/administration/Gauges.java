package org.cuminreach.runtime.administration;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;

/** Registers metrics whose value is read when it is asked for. */
public final class Gauges {
    private Gauges() {}

    /**
     * Registers a gauge.
     *
     * @param registry metrics of the process
     * @param name name of the metric
     * @param help what it counts
     * @param value reads it
     */
    public static void register(
            PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }
}
