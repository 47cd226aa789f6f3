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
import org.cuminreach.settings.Address;

/** Asks the controls over HTTP, one after the other until one answers. */
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
                                .setIoThreadsCount(1));
    }

    /** Parses addresses separated by commas; empty when one of them is not an address. */
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

    /** Returns the first answer, or empty when no control answers. */
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
     * Posts to each control in turn until one gives an answer that settles the matter. Empty when a
     * control may have taken the request without answering and none settled it: a later control's
     * "not run" speaks for itself alone.
     */
    Optional<Response> post(String path, Map<String, String> headers, String body) {
        Optional<Response> last = Optional.empty();
        boolean uncertain = false;
        for (Address control : controls) {
            var request = Dsl.post(url(control, path)).setBody(body);
            headers.forEach(request::setHeader);
            Optional<Response> response = send(request.build());
            if (response.isPresent()) {
                last = response;
                boolean settled = response.get().getStatusCode() < 500;
                if (settled) {
                    return response;
                }
            }
            uncertain |= response.map(answer -> answer.getStatusCode() != NOT_RUN).orElse(true);
        }
        return uncertain ? Optional.empty() : last;
    }

    @Override
    public void close() throws IOException {
        client.close();
    }

    private Optional<Response> send(Request request) {
        try {
            return Optional.of(client.executeRequest(request).get());
        } catch (ExecutionException unanswered) {
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
