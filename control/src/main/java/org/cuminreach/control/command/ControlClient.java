package org.cuminreach.control.command;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Request;
import org.asynchttpclient.Response;
import org.cuminreach.runtime.http.StrictHttpClientCodec;
import org.cuminreach.settings.Address;

/** HTTP client that tries the controls one after the other until one answers. */
final class ControlClient implements AutoCloseable {
    private static final int NOT_RUN = 503;
    private static final Duration TIMEOUT = Duration.ofSeconds(8);

    private final List<Address> controls;
    private final AsyncHttpClient client;

    private ControlClient(List<Address> controls) {
        this.controls = List.copyOf(controls);
        this.client =
                Dsl.asyncHttpClient(
                        Dsl.config()
                                .setMaxRequestRetry(0)
                                .setConnectTimeout(TIMEOUT)
                                .setRequestTimeout(TIMEOUT)
                                .setShutdownQuietPeriod(Duration.ZERO)
                                .setHttpAdditionalChannelInitializer(
                                        StrictHttpClientCodec::replaceCodecOf)
                                .setIoThreadsCount(1));
    }

    /** Parses a comma-separated list of addresses; empty if any of them is malformed. */
    static Optional<ControlClient> of(String addresses) {
        List<Address> parsed = new ArrayList<>();
        for (String text : addresses.split(",")) {
            Optional<Address> address = Address.parse(text.strip());
            if (address.isEmpty()) {
                return Optional.empty();
            }
            parsed.add(address.get());
        }
        return Optional.of(new ControlClient(parsed));
    }

    /** Returns the first answer, or empty if no control answers. */
    Optional<Response> get(String path) {
        for (Address control : controls) {
            Optional<Response> response = send(Dsl.get(url(control, path)).build());
            if (response.isPresent()) {
                return response;
            }
        }
        return Optional.empty();
    }

    /**
     * Posts to each control in turn until one gives a conclusive answer, that is a status below
     * 500. Returns empty if there is none and a control may have executed the request without
     * answering: a "not run" from a later control says nothing about the earlier ones.
     */
    Optional<Response> post(String path, Map<String, String> headers, String body) {
        Optional<Response> lastResponse = Optional.empty();
        boolean outcomeUnknown = false;
        for (Address control : controls) {
            var request = Dsl.post(url(control, path)).setBody(body);
            headers.forEach(request::setHeader);
            Optional<Response> response = send(request.build());
            if (response.isPresent()) {
                lastResponse = response;
                boolean conclusive = response.get().getStatusCode() < 500;
                if (conclusive) {
                    return response;
                }
            }
            outcomeUnknown |=
                    response.map(answer -> answer.getStatusCode() != NOT_RUN).orElse(true);
        }
        return outcomeUnknown ? Optional.empty() : lastResponse;
    }

    @Override
    public void close() throws IOException {
        client.close();
    }

    private Optional<Response> send(Request request) {
        try {
            return Optional.of(client.executeRequest(request).get());
        } catch (ExecutionException e) {
            return Optional.empty();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private static String url(Address control, String path) {
        return "http://" + control + path;
    }
}
