package org.cuminreach.node.target;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.cuminreach.runtime.administration.Histograms;

/** Metrics of the calls to a target: their outcomes, wait times and run times. */
public final class TargetMetrics {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Outcome of a call. The lower-case names are label values. */
    enum Outcome {
        /** The target sent a complete answer. */
        ANSWERED,
        /** The call was refused before it ran. */
        REFUSED,
        /** The call was admitted, but the target gave no complete answer. */
        LOST
    }

    private final Map<Outcome, CounterDataPoint> calls = new EnumMap<>(Outcome.class);
    private final Histogram waitTimes;
    private final Histogram runTimes;

    private TargetMetrics(Counter counter, Histogram waitTimes, Histogram runTimes) {
        for (Outcome outcome : Outcome.values()) {
            String label = outcome.name().toLowerCase(Locale.ROOT);
            calls.put(outcome, counter.labelValues(label));
        }
        this.waitTimes = waitTimes;
        this.runTimes = runTimes;
    }

    /**
     * Registers the metrics of a target.
     *
     * @param registry registry that exports them
     * @return the metrics, all at zero
     */
    public static TargetMetrics register(PrometheusRegistry registry) {
        Counter counter =
                Counter.builder()
                        .withoutExemplars()
                        .name("cuminreach_node_target_calls_total")
                        .help("Calls that arrived for the target, by outcome")
                        .labelNames("outcome")
                        .register(registry);
        Histogram waitTimes =
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
        Histogram runTimes =
                Histograms.registerCallDurations(
                        registry,
                        "cuminreach_node_target_running_seconds",
                        "Time from the start of a call at the target to its end");
        return new TargetMetrics(counter, waitTimes, runTimes);
    }

    void count(Outcome outcome) {
        calls.get(outcome).inc();
    }

    void recordEnd(double runMillis) {
        runTimes.observe(runMillis / MILLIS_PER_SECOND);
    }

    void recordStart(long waitNanos) {
        waitTimes.observe(waitNanos / NANOS_PER_SECOND);
    }
}
