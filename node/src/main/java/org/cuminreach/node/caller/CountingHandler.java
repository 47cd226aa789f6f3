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
 * Counts the final answers of callers by the outcome that they were told, how long they took, and
 * why calls were refused or lost.
 */
public final class CountingHandler implements HttpHandler {
    private static final String OTHER = "other";
    private static final double NANOS_PER_SECOND = 1e9;

    /** Reasons that are counted apart; those that come later count as other ones. */
    private static final int MOST_REASONS = 32;

    private final HttpHandler handler;
    private final Map<String, CounterDataPoint> calls;
    private final Map<String, CounterDataPoint> unanswered = new ConcurrentHashMap<>();
    private final Counter reasons;
    private final Histogram seconds;

    private CountingHandler(
            HttpHandler handler, Counter counter, Counter reasons, Histogram seconds) {
        this.handler = handler;
        this.reasons = reasons;
        this.seconds = seconds;
        this.calls =
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
     * Returns a handler that answers as another does and counts.
     *
     * @param handler answers the calls
     * @param registry where the counts are read
     * @return the counting handler
     */
    public static CountingHandler of(HttpHandler handler, PrometheusRegistry registry) {
        Counter counter =
                Counter.builder()
                        .name("cuminreach_node_caller_calls_total")
                        .help("Calls of callers, by the outcome they were told")
                        .labelNames("outcome")
                        .register(registry);
        Counter reasons =
                Counter.builder()
                        .name("cuminreach_node_caller_unanswered_total")
                        .help("Calls of callers that no target answered, by reason")
                        .labelNames("reason")
                        .register(registry);
        Histogram seconds =
                Histograms.registerCallDurations(
                        registry,
                        "cuminreach_node_caller_seconds",
                        "Time until callers had their final answer");
        return new CountingHandler(handler, counter, reasons, seconds);
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        long begunNanos = System.nanoTime();
        CompletableFuture<HttpAnswer> result = handler.handle(call);
        result.whenComplete((answer, failure) -> count(answer, System.nanoTime() - begunNanos));
        return result;
    }

    private void count(HttpAnswer answer, long tookNanos) {
        seconds.observe(tookNanos / NANOS_PER_SECOND);
        String outcome = answer == null ? null : answer.headers().get(MeshHeaders.OUTCOME);
        calls.getOrDefault(outcome == null ? OTHER : outcome, calls.get(OTHER)).inc();
        if (answer != null && answer.headers().contains(MeshHeaders.REASON)) {
            countReason(answer.headers().get(MeshHeaders.REASON));
        }
    }

    private void countReason(String told) {
        boolean known = unanswered.containsKey(told) || unanswered.size() < MOST_REASONS;
        unanswered.computeIfAbsent(known ? told : OTHER, reasons::labelValues).inc();
    }
}
