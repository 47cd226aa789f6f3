package org.cuminreach.node.caller;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.administration.Histograms;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpHandler;

/**
 * Records metrics of callers' calls: final answers by outcome, time to the final answer, and the
 * reasons of refused or lost calls.
 */
public final class CallerMetricsHandler implements HttpHandler {
    private static final String OTHER = "other";
    private static final double NANOS_PER_SECOND = 1e9;

    /** Limits the values of the reason label; further reasons are counted as {@code other}. */
    private static final int MAX_REASONS = 32;

    private final HttpHandler handler;
    private final Map<String, CounterDataPoint> callsByOutcome;
    private final Map<String, CounterDataPoint> unansweredByReason = new ConcurrentHashMap<>();
    private final Counter reasons;
    private final Counter abandoned;
    private final Histogram seconds;

    private CallerMetricsHandler(
            HttpHandler handler,
            Counter counter,
            Counter reasons,
            Counter abandoned,
            Histogram seconds) {
        this.handler = handler;
        this.reasons = reasons;
        this.abandoned = abandoned;
        this.seconds = seconds;
        this.callsByOutcome =
                Stream.of(
                                MeshHeaders.ANSWERED,
                                MeshHeaders.NOT_RUN,
                                MeshHeaders.MAY_HAVE_RUN,
                                OTHER)
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Function.identity(),
                                        outcome -> counter.labelValues(outcome)));
    }

    /**
     * Wraps a handler to record metrics of its calls.
     *
     * @param handler the wrapped handler
     * @param registry registers the metrics
     * @return the handler with metrics
     */
    public static CallerMetricsHandler of(HttpHandler handler, PrometheusRegistry registry) {
        Counter counter =
                Counter.builder()
                        .withoutExemplars()
                        .name("cuminreach_node_caller_calls_total")
                        .help("Calls of callers, by the outcome they were told")
                        .labelNames("outcome")
                        .register(registry);
        Counter reasons =
                Counter.builder()
                        .withoutExemplars()
                        .name("cuminreach_node_caller_unanswered_total")
                        .help("Calls of callers that no target answered, by reason")
                        .labelNames("reason")
                        .register(registry);
        Counter abandoned =
                Counter.builder()
                        .withoutExemplars()
                        .name("cuminreach_node_caller_abandoned_total")
                        .help("Calls whose caller closed the connection before their answer")
                        .register(registry);
        Histogram seconds =
                Histograms.registerCallDurations(
                        registry,
                        "cuminreach_node_caller_seconds",
                        "Time until callers had their final answer");
        return new CallerMetricsHandler(handler, counter, reasons, abandoned, seconds);
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        long startNanos = System.nanoTime();
        call.abandoned().thenRun(abandoned::inc);
        CompletableFuture<HttpAnswer> result = handler.handle(call);
        result.whenComplete((answer, failure) -> record(answer, System.nanoTime() - startNanos));
        return result;
    }

    private void record(HttpAnswer answer, long elapsedNanos) {
        seconds.observe(elapsedNanos / NANOS_PER_SECOND);
        String outcome = answer == null ? null : answer.headers().get(MeshHeaders.OUTCOME);
        callsByOutcome
                .getOrDefault(outcome == null ? OTHER : outcome, callsByOutcome.get(OTHER))
                .inc();
        if (answer != null && answer.headers().contains(MeshHeaders.REASON)) {
            recordReason(answer.headers().get(MeshHeaders.REASON));
        }
    }

    private void recordReason(String reason) {
        boolean known =
                unansweredByReason.containsKey(reason) || unansweredByReason.size() < MAX_REASONS;
        unansweredByReason.computeIfAbsent(known ? reason : OTHER, reasons::labelValues).inc();
    }
}
