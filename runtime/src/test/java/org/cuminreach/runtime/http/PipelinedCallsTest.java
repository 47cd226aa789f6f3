package org.cuminreach.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.settings.Address;

/** Calls that are sent on a connection before earlier ones are answered (HTTP pipelining). */
class PipelinedCallsTest {
    private static final long TIMEOUT_SECONDS = 30;
    private static final int CALLS = 4;

    /** More calls than a connection may have in progress. */
    private static final int MANY_CALLS = 40;

    private final List<HttpCall> calls = new CopyOnWriteArrayList<>();
    private final List<CompletableFuture<HttpAnswer>> answers = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Void> allArrived = new CompletableFuture<>();

    private CompletableFuture<HttpAnswer> handle(HttpCall call) {
        CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
        calls.add(call);
        answers.add(answer);
        if (answers.size() == CALLS) {
            allArrived.complete(null);
        }
        return answer;
    }

    @Example
    void runConcurrentlyAndAreAnsweredInOrder() throws Exception {
        try (ServerConnection connection = new ServerConnection(this::handle)) {
            connection.sendCalls();
            allArrived.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            for (int number = CALLS - 1; number >= 0; number--) {
                answers.get(number).complete(HttpAnswer.of(200, "text/plain", "answer-" + number));
            }
            for (int number = 0; number < CALLS; number++) {
                assertThat(connection.readBody()).isEqualTo("answer-" + number);
            }
            connection.awaitEventLoop();
            assertThat(connection.server.requestsInProgress()).isEqualTo(0);
        }
    }

    @Example
    void closedConnectionAbandonsAllCallsAndFinishesEachOnce() throws Exception {
        try (ServerConnection connection = new ServerConnection(this::handle)) {
            connection.sendCalls();
            allArrived.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            // An abandoned call may be answered at once, while others are still being abandoned.
            for (int number = 0; number < CALLS; number++) {
                CompletableFuture<HttpAnswer> answer = answers.get(number);
                calls.get(number)
                        .abandoned()
                        .thenRun(() -> answer.complete(HttpAnswer.of(502, "text/plain", "left")));
            }
            connection.socket.close();
            for (HttpCall call : calls) {
                call.abandoned().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            }
            connection.awaitEventLoop();
            assertThat(connection.server.requestsInProgress()).isEqualTo(0);
        }
    }

    @Example
    void closeIsNoticedWhileConnectionHasMaximumOfCallsInProgress() throws Exception {
        try (ServerConnection connection = new ServerConnection(this::handle)) {
            connection.sendCalls(MANY_CALLS);
            allArrived.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            Thread.sleep(200);
            int started = calls.size();
            connection.socket.close();
            for (HttpCall call : calls) {
                call.abandoned().get(5, TimeUnit.SECONDS);
            }
            connection.awaitEventLoop();
            assertThat(connection.server.requestsInProgress()).isEqualTo(0);
            assertThat(calls).hasSize(started);
            assertThat(started).isLessThan(MANY_CALLS);
        }
    }

    @Example
    void callThatArrivesTogetherWithTheCloseBehindItIsNotStarted() throws Exception {
        try (ServerConnection connection = new ServerConnection(this::handle)) {
            Thread.sleep(100);
            connection.loops.submit(() -> pause(300));
            connection.sendCalls(1);
            connection.socket.close();
            Thread.sleep(600);
            connection.awaitEventLoop();
            assertThat(calls).isEmpty();
            assertThat(connection.server.requestsInProgress()).isEqualTo(0);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Example
    void callsBeyondMaximumRunOnceEarlierOnesAreAnswered() throws Exception {
        try (ServerConnection connection = new ServerConnection(this::handle)) {
            connection.sendCalls(MANY_CALLS);
            for (int number = 0; number < MANY_CALLS; number++) {
                while (answers.size() <= number) {
                    Thread.sleep(1);
                }
                answers.get(number).complete(HttpAnswer.of(200, "text/plain", "answer-" + number));
                assertThat(connection.readBody()).isEqualTo("answer-" + number);
            }
            connection.awaitEventLoop();
            assertThat(connection.server.requestsInProgress()).isEqualTo(0);
        }
    }

    @Example
    void callsBeyondMaximumAreReadOnlyUpToBound() throws Exception {
        try (ServerConnection connection = new ServerConnection(this::handle)) {
            connection.socket.setSendBufferSize(16 * 1024);
            byte[] call =
                    ("GET /" + "x".repeat(8_000) + " HTTP/1.1\r\nHost: a\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
            CompletableFuture<Void> sent =
                    CompletableFuture.runAsync(() -> connection.sendUntilBlocked(call, 20_000));
            allArrived.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            Thread.sleep(2_000);
            assertThat(sent.isDone()).isFalse();
        }
    }

    /** A server and one connection to it. */
    private static final class ServerConnection implements AutoCloseable {
        private final EventLoopGroup loops = EventLoops.start(1);
        private final HttpServer server;
        private final Socket socket;
        private final BufferedReader reader;

        ServerConnection(HttpHandler handler) throws IOException {
            int port;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
            server = HttpServer.listen(new Address("127.0.0.1", port), loops, handler).join();
            socket = new Socket("127.0.0.1", port);
            reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
        }

        void sendCalls() throws IOException {
            sendCalls(CALLS);
        }

        void sendCalls(int count) throws IOException {
            String call = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
            socket.getOutputStream().write(call.repeat(count).getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
        }

        void sendUntilBlocked(byte[] call, int count) {
            try {
                for (int number = 0; number < count; number++) {
                    socket.getOutputStream().write(call);
                }
            } catch (IOException closed) {
                throw new UncheckedIOException(closed);
            }
        }

        String readBody() throws IOException {
            int length = 0;
            for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
                if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
                }
            }
            char[] body = new char[length];
            for (int read = 0; read < length; ) {
                read += reader.read(body, read, length - read);
            }
            return new String(body);
        }

        /** Waits until the event loop has run its queued tasks. */
        void awaitEventLoop() throws Exception {
            loops.submit(() -> {}).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

        @Override
        public void close() throws IOException {
            socket.close();
            server.close();
            EventLoops.stop(loops);
        }
    }
}
