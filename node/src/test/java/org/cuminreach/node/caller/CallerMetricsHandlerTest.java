package org.cuminreach.node.caller;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.runtime.http.HttpCall;

class CallerMetricsHandlerTest {
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final CallerMetricsHandler handler =
            CallerMetricsHandler.of(
                    call ->
                            CompletableFuture.completedFuture(
                                    CallAnswers.notRun(503, call.uri(), Optional.of(1L))),
                    registry);

    @Example
    void refusalsAreCountedByReasonWithBoundedLabels() {
        for (int reason = 0; reason < 100; reason++) {
            handleCall("reason-" + reason);
            handleCall("reason-" + reason);
        }

        CounterSnapshot reasons = counter("cuminreach_node_caller_unanswered");
        assertThat(reasons.getDataPoints()).hasSize(33);
        assertThat(
                        reasons.getDataPoints().stream()
                                .mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
                                .sum())
                .isEqualTo(200.0);
    }

    @Example
    void everyFinalAnswerIsTimed() {
        handleCall("queue_full");

        HistogramSnapshot seconds =
                (HistogramSnapshot)
                        registry.scrape(name -> name.equals("cuminreach_node_caller_seconds"))
                                .get(0);
        assertThat(seconds.getDataPoints().get(0).getCount()).isEqualTo(1);
    }

    private void handleCall(String reason) {
        HttpCall call =
                new HttpCall("GET", reason, new DefaultHttpHeaders(), new byte[0], "127.0.0.1");
        handler.handle(call).join();
    }

    private CounterSnapshot counter(String name) {
        return (CounterSnapshot) registry.scrape(name::equals).get(0);
    }
}
