package org.cuminreach.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.settings.Address;

class HttpServerTest {
    private static final int TIMEOUT_MILLIS = 20_000;

    private static EventLoopGroup eventLoops;
    private static Address address;

    @BeforeContainer
    static void listen() throws IOException {
        eventLoops = EventLoops.start(1);
        try (ServerSocket free = new ServerSocket(0)) {
            address = new Address("127.0.0.1", free.getLocalPort());
        }
        HttpServer.listen(address, eventLoops, HttpServerTest::echoPath).join();
    }

    @AfterContainer
    static void stop() {
        EventLoops.stop(eventLoops);
    }

    @Example
    void malformedRequestIsRefusedAndServerKeepsServing() throws IOException {
        assertThat(firstLine("NOT HTTP AT ALL\r\n\r\n")).contains(" 400 ");
        assertThat(firstLine("GET / HTTP/1.1\r\nBad Header\r\n\r\n")).isNotEmpty();
        assertThat(firstLine("GET /fine HTTP/1.1\r\nHost: h\r\n\r\n")).contains(" 200 ");
    }

    @Example
    void bodyOverTheLimitIsRefused() throws IOException {
        long tooLarge = HttpServer.MAX_BODY_BYTES + 1L;

        String line = firstLine("POST / HTTP/1.1\r\nContent-Length: " + tooLarge + "\r\n\r\n");

        assertThat(line).contains(" 413 ");
    }

    @Example
    void handlerFailureIsAnsweredWithStatus500() throws IOException {
        assertThat(firstLine("GET /fail HTTP/1.1\r\nHost: h\r\n\r\n")).contains(" 500 ");
        assertThat(firstLine("GET /throw HTTP/1.1\r\nHost: h\r\n\r\n")).contains(" 500 ");
    }

    @Example
    void refusedHeadRequestGetsNoBody() throws IOException {
        String answer = wholeAnswer("HEAD / HTTP/1.1\r\nHost: h\r\nBad Header\r\n\r\n");

        assertThat(answer).contains(" 400 ");
        assertThat(answer).endsWith("\r\n\r\n");
    }

    private static String wholeAnswer(String request) throws IOException {
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static CompletableFuture<HttpAnswer> echoPath(HttpCall call) {
        return switch (call.path()) {
            case "/fail" -> CompletableFuture.failedFuture(new IOException("for the test"));
            case "/throw" -> throw new IllegalStateException("for the test");
            default ->
                    CompletableFuture.completedFuture(
                            HttpAnswer.of(200, "text/plain", call.path()));
        };
    }

    private static String firstLine(String request) throws IOException {
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write(request.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            return reader.readLine();
        }
    }
}
