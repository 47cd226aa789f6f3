package org.cuminreach.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.settings.Address;

class StoppingServerTest {
    private static final int TIMEOUT_MILLIS = 30_000;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

    private final EventLoopGroup loops = EventLoops.start(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private HttpServer server;
    private Socket socket;
    private BufferedReader reader;

    @BeforeTry
    void listen() throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        server =
                HttpServer.listen(new Address("127.0.0.1", port), loops, StoppingServerTest::answer)
                        .join();
        socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        reader =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    @AfterTry
    void close() throws IOException {
        released.countDown();
        socket.close();
        server.close();
        EventLoops.stop(loops);
    }

    private static CompletableFuture<HttpAnswer> answer(HttpCall call) {
        return CompletableFuture.completedFuture(HttpAnswer.of(200, "text/plain", "fine"));
    }

    @Example
    void requestThatArrivedBeforeCloseOfIdleConnectionsIsAnswered() throws Exception {
        useConnection();
        occupyEventLoop();
        send(REQUEST);
        server.refuseRequests();
        released.countDown();

        assertThat(reader.readLine()).startsWith("HTTP/1.1 503 ");
    }

    @Example
    void requestWhoseBodyArrivesDuringCloseOfIdleConnectionsIsAnswered() throws Exception {
        sendHeadAndAwaitItsReading();
        server.refuseRequests();
        awaitEventLoop();
        send("body");

        assertThat(reader.readLine()).startsWith("HTTP/1.1 503 ");
    }

    @Example
    void requestOnConnectionThatIsNotYetAcceptedIsAnsweredWhenServerStopsAccepting()
            throws Exception {
        useConnection();
        occupyEventLoop();
        try (Socket waiting = new Socket(socket.getInetAddress(), socket.getPort())) {
            waiting.setSoTimeout(TIMEOUT_MILLIS);
            waiting.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            server.stopAccepting();
            released.countDown();

            BufferedReader answer =
                    new BufferedReader(
                            new InputStreamReader(
                                    waiting.getInputStream(), StandardCharsets.US_ASCII));
            assertThat(answer.readLine()).startsWith("HTTP/1.1 200 ");
        }
    }

    @Example
    void idleConnectionIsClosedWithoutFurtherInput() throws Exception {
        useConnection();
        server.refuseRequests();

        assertThat(reader.readLine()).isNull();
    }

    /** Sends a request and reads its answer, so that the connection is kept and idle. */
    private void useConnection() throws IOException {
        send(REQUEST);
        assertThat(reader.readLine()).startsWith("HTTP/1.1 200 ");
        while (!reader.readLine().isEmpty()) {}
        char[] body = new char["fine".length()];
        for (int read = 0; read < body.length; ) {
            read += reader.read(body, read, body.length - read);
        }
    }

    private void sendHeadAndAwaitItsReading() throws IOException {
        send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        assertThat(reader.readLine()).startsWith("HTTP/1.1 100 ");
        while (!reader.readLine().isEmpty()) {}
    }

    private void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private void occupyEventLoop() throws Exception {
        CountDownLatch occupied = new CountDownLatch(1);
        loops.submit(
                () -> {
                    occupied.countDown();
                    return released.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                });
        assertThat(occupied.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }

    private void awaitEventLoop() throws Exception {
        loops.submit(() -> {}).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
