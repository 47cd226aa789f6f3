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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.cuminreach.decisions.admission.LinkRate;
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

    /** Requests that do not end, many at once, must not take the memory of other requests. */
    @Example
    void endlessRequestsAtOnceAreRefusedAndLeaveMemoryForOthers() throws Exception {
        BodyMemory memory = BodyMemory.of(1024 * 1024);
        Address bounded;
        try (ServerSocket free = new ServerSocket(0)) {
            bounded = new Address("127.0.0.1", free.getLocalPort());
        }
        HttpServer server =
                HttpServer.listen(
                                bounded,
                                eventLoops,
                                HttpServerTest::echoPath,
                                memory,
                                BodyGate.open(),
                                LinkUse.of(LinkRate.unknown()))
                        .join();
        List<Socket> clients = new ArrayList<>();
        String chunk = "4000\r\n" + "x".repeat(0x4000) + "\r\n";
        for (int client = 0; client < 10; client++) {
            Socket socket = new Socket(bounded.host(), bounded.port());
            socket.setSoTimeout(TIMEOUT_MILLIS);
            clients.add(socket);
            write(socket, "POST /endless HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
            write(socket, chunk.repeat(40));
        }
        BufferedReader refusal =
                new BufferedReader(new InputStreamReader(clients.getFirst().getInputStream()));
        assertThat(refusal.readLine()).contains(" 503 ");

        try (Socket sound = new Socket(bounded.host(), bounded.port())) {
            sound.setSoTimeout(TIMEOUT_MILLIS);
            write(sound, "POST /fine HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" + "y".repeat(2000));
            BufferedReader answer =
                    new BufferedReader(new InputStreamReader(sound.getInputStream()));
            assertThat(answer.readLine()).contains(" 200 ");
        }
        for (Socket client : clients) {
            client.close();
        }
        while (server.openConnections() > 0) {
            Thread.sleep(10);
        }
        assertThat(memory.usedBytes()).isEqualTo(0);
        server.close();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
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
