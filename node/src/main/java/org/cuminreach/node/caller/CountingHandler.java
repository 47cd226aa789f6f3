package org.cuminreach.node.caller;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpHandler;

/** Counts the final answers of callers by the outcome that they were told. */
public final class CountingHandler implements HttpHandler {
    private static final String OTHER = "other";

    private final HttpHandler handler;
    private final Map<String, CounterDataPoint> calls;

    private CountingHandler(HttpHandler handler, Counter counter) {
        this.handler = handler;
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
        return new CountingHandler(handler, counter);
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        CompletableFuture<HttpAnswer> result = handler.handle(call);
        result.whenComplete((answer, failure) -> count(answer));
        return result;
    }

    private void count(HttpAnswer answer) {
        String outcome = answer == null ? null : answer.headers().get(MeshHeaders.OUTCOME);
        calls.getOrDefault(outcome == null ? OTHER : outcome, calls.get(OTHER)).inc();
    }
}
