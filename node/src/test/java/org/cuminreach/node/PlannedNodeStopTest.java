package org.cuminreach.node;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cuminreach.decisions.admission.LinkRate;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.log.LogFormat;
import org.cuminreach.runtime.log.LogLevel;
import org.cuminreach.runtime.log.LogSettings;
import org.cuminreach.settings.Address;
import org.cuminreach.settings.MeshBounds;

class PlannedNodeStopTest {
    private static final int TIMEOUT_MILLIS = 30_000;
    private static final int SHUTDOWN_TIMEOUT_MILLIS = 20_000;
    private static final int SHORT_SHUTDOWN_TIMEOUT_MILLIS = 1_000;

    /** Time for which the event loop is occupied, over that without a request before a stop. */
    private static final int OCCUPIED_MILLIS = 2_000;

    private static final String REQUEST = "GET /none HTTP/1.1\r\nHost: none\r\n\r\n";

    private final CountDownLatch occupied = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final List<Socket> sockets = new ArrayList<>();
    private NodeSettings settings;
    private Address blocking;
    private NodeProcess node;

    private void start(long shutdownTimeoutMillis) throws IOException {
        settings =
                new NodeSettings(
                        "node",
                        "here",
                        freeAddress(),
                        freeAddress(),
                        freeAddress(),
                        List.of(freeAddress()),
                        Optional.empty(),
                        false,
                        LinkRate.unknown(),
                        0,
                        shutdownTimeoutMillis,
                        MeshBounds.defaults(),
                        LogSettings.of(LogLevel.WARN, LogFormat.TEXT));
        node = NodeProcess.start(settings);
        blocking = freeAddress();
        node.serve(blocking, this::occupyEventLoop);
    }

    @AfterTry
    void close() throws IOException {
        released.countDown();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Address("127.0.0.1", free.getLocalPort());
        }
    }

    private CompletableFuture<HttpAnswer> occupyEventLoop(HttpCall call) {
        occupied.countDown();
        try {
            released.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return CompletableFuture.completedFuture(HttpAnswer.of(200, "text/plain", "released"));
    }

    @Example
    void requestOfAnotherNodeThatArrivesWhileEventLoopIsOccupiedIsAnsweredAsNotRun()
            throws Exception {
        start(SHUTDOWN_TIMEOUT_MILLIS);

        String answer = answerDuringOccupiedStop(settings.inboundAddress());

        assertThat(answer).contains(" 503 ");
        assertThat(answer.toLowerCase(Locale.ROOT))
                .contains(MeshHeaders.OUTCOME.toLowerCase(Locale.ROOT) + ": not-run");
    }

    @Example
    void requestOfCallerThatArrivesWhileEventLoopIsOccupiedIsAnswered() throws Exception {
        start(SHUTDOWN_TIMEOUT_MILLIS);

        assertThat(answerDuringOccupiedStop(settings.callerAddress())).startsWith("HTTP/1.1 ");
    }

    @Example
    void requestThatIsNeverCompletedKeepsNodeFromStoppingOnlyUntilTimeout() throws Exception {
        start(SHORT_SHUTDOWN_TIMEOUT_MILLIS);
        Socket partial = connect(settings.callerAddress());
        send(partial, "POST /none HTTP/1.1\r\nHost: none\r\nContent-Length: 4\r\n\r\n");
        Thread stop = Thread.ofVirtual().start(this::stop);
        stop.join(TIMEOUT_MILLIS);

        assertThat(stop.isAlive()).isFalse();
        assertThat(partial.getInputStream().read()).isEqualTo(-1);
    }

    /** Returns the head of the answer to a request that arrives unseen while the node stops. */
    private String answerDuringOccupiedStop(Address server) throws Exception {
        Socket kept = connect(server);
        BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(kept.getInputStream(), StandardCharsets.US_ASCII));
        send(kept);
        readAnswer(reader);
        send(connect(blocking));
        assertThat(occupied.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        send(kept);
        Thread stop = Thread.ofVirtual().start(this::stop);
        stop.join(OCCUPIED_MILLIS);
        released.countDown();
        String head = readAnswer(reader);
        stop.join(TIMEOUT_MILLIS);
        assertThat(stop.isAlive()).isFalse();
        return head;
    }

    private void stop() {
        try {
            node.stop();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private Socket connect(Address address) throws IOException {
        Socket socket = new Socket(address.host(), address.port());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        sockets.add(socket);
        return socket;
    }

    private static void send(Socket socket) throws IOException {
        send(socket, REQUEST);
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private static String readAnswer(BufferedReader reader) {
        StringBuilder head = new StringBuilder();
        int length = 0;
        try {
            for (String line = reader.readLine();
                    line != null && !line.isEmpty();
                    line = reader.readLine()) {
                head.append(line).append('\n');
                if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
                }
            }
            for (int read = 0; read < length; read++) {
                reader.read();
            }
        } catch (IOException cut) {
            throw new UncheckedIOException(cut);
        }
        return head.toString();
    }
}
