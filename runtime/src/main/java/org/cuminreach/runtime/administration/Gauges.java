package org.cuminreach.runtime.administration;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;

/** Registers gauges whose value is read on each scrape. */
public final class Gauges {
    private Gauges() {}

    /**
     * Registers a gauge.
     *
     * @param registry registry of the process
     * @param name name of the metric
     * @param help description of the metric
     * @param value supplies the current value
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
