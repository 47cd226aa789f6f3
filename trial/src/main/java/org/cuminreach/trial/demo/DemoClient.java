package org.cuminreach.trial.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.function.BooleanSupplier;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.cuminreach.settings.Address;

/** Speaks to the demonstration's processes over HTTP. */
final class DemoClient implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long POLL_MILLIS = 20;

    private final AsyncHttpClient client =
            Dsl.asyncHttpClient(
                    Dsl.config().setMaxRequestRetry(0).setRequestTimeout(Duration.ofSeconds(8)));

    Optional<String> text(Address address, String path) throws InterruptedException {
        return send(new RequestBuilder("GET").setUrl("http://" + address + path))
                .map(Response::getResponseBody);
    }

    JsonNode json(Address address, String path) throws InterruptedException {
        Optional<String> text = text(address, path);
        try {
            return text.isPresent() ? MAPPER.readTree(text.get()) : MissingNode.getInstance();
        } catch (IOException malformed) {
            return MissingNode.getInstance();
        }
    }

    /** Submits a document; returns its version, or empty when it was not accepted. */
    Optional<Long> submit(Address control, Path document, long basedOn)
            throws IOException, InterruptedException {
        Optional<Response> response =
                send(
                        new RequestBuilder("POST")
                                .setUrl("http://" + control + "/documents?basedOn=" + basedOn)
                                .setHeader("Idempotency-Key", UUID.randomUUID().toString())
                                .setBody(Files.readString(document)));
        if (response.isEmpty() || response.get().getStatusCode() != 200) {
            System.err.println(
                    "not accepted: " + response.map(Response::getResponseBody).orElse("no answer"));
            return Optional.empty();
        }
        return Optional.of(
                MAPPER.readTree(response.get().getResponseBody()).path("version").longValue());
    }

    boolean await(Duration longest, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + longest.toNanos();
        while (System.nanoTime() < deadline) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Thread.sleep(POLL_MILLIS);
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        client.close();
    }

    private Optional<Response> send(RequestBuilder request) throws InterruptedException {
        try {
            return Optional.of(client.executeRequest(request.build()).get());
        } catch (ExecutionException unanswered) {
            return Optional.empty();
        }
    }
}
