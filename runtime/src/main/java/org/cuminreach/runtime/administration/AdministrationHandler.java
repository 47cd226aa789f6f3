package org.cuminreach.runtime.administration;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpHandler;

/** Answers {@code /metrics}, {@code /healthz}, {@code /readyz} and {@code /status}. */
public final class AdministrationHandler implements HttpHandler {
    private static final String TEXT = "text/plain";

    private final PrometheusRegistry metrics;
    private final Supplier<Readiness> readiness;
    private final Supplier<String> statusJson;

    private AdministrationHandler(
            PrometheusRegistry metrics,
            Supplier<Readiness> readiness,
            Supplier<String> statusJson) {
        this.metrics = metrics;
        this.readiness = readiness;
        this.statusJson = statusJson;
    }

    /**
     * Returns the handler of a process.
     *
     * @param metrics metrics of the process
     * @param readiness supplies the readiness of the process
     * @param statusJson supplies the status of the process as a JSON object
     * @return the handler
     */
    public static AdministrationHandler create(
            PrometheusRegistry metrics,
            Supplier<Readiness> readiness,
            Supplier<String> statusJson) {
        return new AdministrationHandler(metrics, readiness, statusJson);
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        return CompletableFuture.completedFuture(answer(call.path()));
    }

    private HttpAnswer answer(String path) {
        return switch (path) {
            case "/metrics" -> HttpAnswer.of(200, TEXT, metricsText());
            case "/healthz" -> HttpAnswer.of(200, TEXT, "ok\n");
            case "/readyz" -> readinessAnswer();
            case "/status" -> HttpAnswer.of(200, "application/json", statusJson.get());
            default -> HttpAnswer.of(404, TEXT, "there is no " + path + "\n");
        };
    }

    private HttpAnswer readinessAnswer() {
        Readiness state = readiness.get();
        return HttpAnswer.of(state.ready() ? 200 : 503, TEXT, state.reason() + "\n");
    }

    private String metricsText() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(bytes, metrics.scrape());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
