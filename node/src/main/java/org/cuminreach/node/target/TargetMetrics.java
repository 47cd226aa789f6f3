package org.cuminreach.node.target;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.cuminreach.runtime.administration.Histograms;

/**
 * Counts what comes of the calls at a target's guard, how long they waited and how long they ran.
 */
public final class TargetMetrics {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** What came of a call at the guard. */
    enum Outcome {
        /** The target answered whole. */
        ANSWERED,
        /** It was refused before it ran. */
        REFUSED,
        /** It was sent to the target and no whole answer came. */
        LOST
    }

    private final Map<Outcome, CounterDataPoint> calls = new EnumMap<>(Outcome.class);
    private final Histogram waiting;
    private final Histogram running;

    private TargetMetrics(Counter counter, Histogram waiting, Histogram running) {
        for (Outcome outcome : Outcome.values()) {
            String label = outcome.name().toLowerCase(Locale.ROOT);
            calls.put(outcome, counter.labelValues(label));
        }
        this.waiting = waiting;
        this.running = running;
    }

    /**
     * Registers the metrics of a guard.
     *
     * @param registry where they are read
     * @return the metrics, all at zero
     */
    public static TargetMetrics register(PrometheusRegistry registry) {
        Counter counter =
                Counter.builder()
                        .name("cuminreach_node_target_calls_total")
                        .help("Calls that arrived for the target, by outcome")
                        .labelNames("outcome")
                        .register(registry);
        Histogram waiting =
                Histograms.register(
                        registry,
                        "cuminreach_node_target_waiting_seconds",
                        "Time that started calls waited for a slot",
                        0.001,
                        0.005,
                        0.02,
                        0.1,
                        0.5,
                        1);
        Histogram running =
                Histograms.registerCallDurations(
                        registry,
                        "cuminreach_node_target_running_seconds",
                        "Time from the start of a call at the target to its end");
        return new TargetMetrics(counter, waiting, running);
    }

    void count(Outcome outcome) {
        calls.get(outcome).inc();
    }

    void ended(double ranMillis) {
        running.observe(ranMillis / MILLIS_PER_SECOND);
    }

    void started(long waitedNanos) {
        waiting.observe(waitedNanos / NANOS_PER_SECOND);
    }
}
