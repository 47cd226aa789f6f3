package org.cuminreach.trial.mesh;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.cuminreach.settings.Address;

/** HTTP client for the processes of a mesh. */
public final class MeshClient implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(8);

    private final AsyncHttpClient client =
            Dsl.asyncHttpClient(
                    Dsl.config()
                            .setMaxRequestRetry(0)
                            .setRequestTimeout(TIMEOUT)
                            .setIoThreadsCount(2));

    private MeshClient() {}

    /**
     * Opens a client.
     *
     * @return the client
     */
    public static MeshClient open() {
        return new MeshClient();
    }

    /**
     * Requests a text.
     *
     * @param address address of the process
     * @param path path of the request
     * @return the body of the answer, or empty if there was no answer
     */
    public Optional<String> text(Address address, String path) {
        return send(new RequestBuilder("GET").setUrl("http://" + address + path))
                .map(Response::getResponseBody);
    }

    /**
     * Requests JSON.
     *
     * @param address address of the process
     * @param path path of the request
     * @return the body of the answer, or a missing node if there was no answer or no valid JSON
     */
    public JsonNode json(Address address, String path) {
        return text(address, path)
                .map(MeshClient::parse)
                .orElseGet(() -> MissingNode.getInstance());
    }

    /**
     * Submits a document.
     *
     * @param control operator address of a control
     * @param document the document
     * @param basedOn document version that the document is based on
     * @param key idempotency key
     * @return the result
     */
    public SubmissionResult submit(Address control, String document, long basedOn, String key) {
        Optional<Response> response =
                send(
                        new RequestBuilder("POST")
                                .setUrl("http://" + control + "/documents?basedOn=" + basedOn)
                                .setHeader("Idempotency-Key", key)
                                .setBody(document));
        if (response.isEmpty()) {
            return new SubmissionResult(0, 0, "no answer");
        }
        String body = response.get().getResponseBody();
        return new SubmissionResult(
                response.get().getStatusCode(), parse(body).path("version").longValue(), body);
    }

    @Override
    public void close() throws IOException {
        client.close();
    }

    private Optional<Response> send(RequestBuilder request) {
        try {
            return Optional.of(client.executeRequest(request.build()).get());
        } catch (ExecutionException unanswered) {
            return Optional.empty();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException malformed) {
            return MissingNode.getInstance();
        }
    }
}
