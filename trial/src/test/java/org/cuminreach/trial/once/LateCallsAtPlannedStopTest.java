package org.cuminreach.trial.once;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cuminreach.settings.Address;

/** Covers calls that arrive on kept connections when a stopping node no longer listens. */
class LateCallsAtPlannedStopTest {
    /** Shorter than the time in which a stopping node waits for calls. */
    private static final int SHORT_TIMEOUT_MILLIS = 4_000;

    /** Longer than the time in which a stopping node waits for calls. */
    private static final int LONG_TIMEOUT_MILLIS = 30_000;

    private static final int LONG_WORK_MILLIS = 11_000;
    private static final int CALLS = 12;
    private static final int CALL_INTERVAL_MILLIS = 25;

    /** Time after the start of the stop from which calls are late. */
    private static final int FIRST_CALL_MILLIS = 300;

    /** Time after the start of the stop until which calls on kept connections are answered. */
    private static final int LAST_ANSWERED_CALL_MILLIS = 600;

    /** A connection on which a call was answered before the stop. */
    private record KeptConnection(Socket socket, BufferedReader in) {}

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final Set<String> passedOn = ConcurrentHashMap.newKeySet();
    private InProcessMesh mesh;

    @AfterTry
    void close() throws Exception {
        for (Socket socket : sockets) {
            socket.close();
        }
        mesh.close();
        for (ScriptedTarget target : targets) {
            target.close();
        }
    }

    // Guards against LOST: a stopping node passed late calls on and cut them when it ended.
    @Example
    void lateCallThatMayOutlastTheStopIsRefusedRatherThanCut() throws Exception {
        start(LONG_TIMEOUT_MILLIS);

        for (String status : statusesOfCallsDuringStop("/long-")) {
            assertThat(status).startsWith("HTTP/1.1 503 ");
        }
        assertThat(passedOn.stream().filter(path -> path.startsWith("/long-"))).isEmpty();
    }

    @Example
    void lateCallThatEndsBeforeTheStopIsServed() throws Exception {
        start(SHORT_TIMEOUT_MILLIS);

        for (String status : statusesOfCallsDuringStop("/short-")) {
            assertThat(status).startsWith("HTTP/1.1 200 ");
        }
    }

    private void start(int timeoutMillis) throws Exception {
        for (int number = 0; number < 2; number++) {
            targets.add(ScriptedTarget.start(this::work));
        }
        mesh =
                InProcessMesh.start(
                        Files.createTempDirectory("late-calls"),
                        targets.stream().map(ScriptedTarget::address).toList(),
                        timeoutMillis);
    }

    private void work(String head, String body, Socket socket)
            throws IOException, InterruptedException {
        String path = head.split(" ", 3)[1];
        passedOn.add(path);
        if (path.startsWith("/long-")) {
            Thread.sleep(LONG_WORK_MILLIS);
        }
        ScriptedTarget.writeAnswer(socket, 200, "done");
    }

    /** Returns the status lines of the calls that were sent while their connections were kept. */
    private List<String> statusesOfCallsDuringStop(String path) throws Exception {
        List<KeptConnection> connections = new ArrayList<>();
        for (int call = 0; call < CALLS; call++) {
            connections.add(connect(mesh.settings(0).callerAddress()));
            send(connections.getLast(), "/warm-" + call, InProcessMesh.HOST);
            assertThat(readAnswer(connections.getLast())).startsWith("HTTP/1.1 200 ");
        }
        long beforeNanos = System.nanoTime();
        Thread stop = Thread.ofVirtual().start(this::stopFirstNode);
        awaitStopping();
        Thread.sleep(FIRST_CALL_MILLIS);
        List<KeptConnection> answered = new ArrayList<>();
        for (int call = 0; call < CALLS; call++) {
            try {
                send(connections.get(call), path + call, InProcessMesh.HOST);
            } catch (IOException closed) {
                assertWithMessage("call %s", call)
                        .that(elapsedMillis(beforeNanos))
                        .isAtLeast(LAST_ANSWERED_CALL_MILLIS);
            }
            if (elapsedMillis(beforeNanos) < LAST_ANSWERED_CALL_MILLIS) {
                answered.add(connections.get(call));
            }
            Thread.sleep(CALL_INTERVAL_MILLIS);
        }
        List<String> statuses = new ArrayList<>();
        for (KeptConnection connection : answered) {
            statuses.add(readAnswer(connection));
        }
        stop.join();
        mesh.restartNode(0);
        return statuses;
    }

    private void awaitStopping() throws Exception {
        String status = "";
        while (!status.startsWith("HTTP/1.1 503 ")) {
            KeptConnection connection = connect(mesh.settings(0).administrationAddress());
            send(connection, "/readyz", "node");
            status = readAnswer(connection);
        }
    }

    private static long elapsedMillis(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }

    private void stopFirstNode() {
        try {
            mesh.stopNode(0);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private KeptConnection connect(Address address) throws IOException {
        Socket socket = new Socket(address.host(), address.port());
        sockets.add(socket);
        return new KeptConnection(
                socket,
                new BufferedReader(
                        new InputStreamReader(
                                socket.getInputStream(), StandardCharsets.ISO_8859_1)));
    }

    private static void send(KeptConnection connection, String path, String host)
            throws IOException {
        ScriptedTarget.write(
                connection.socket(), "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n".formatted(path, host));
    }

    /** Reads an answer and returns its status line, or nothing if the connection has ended. */
    private static String readAnswer(KeptConnection connection) throws IOException {
        String statusLine = connection.in().readLine();
        if (statusLine == null) {
            return "";
        }
        int length = 0;
        for (String line = connection.in().readLine();
                line != null && !line.isEmpty();
                line = connection.in().readLine()) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        connection.in().skip(length);
        return statusLine;
    }
}
