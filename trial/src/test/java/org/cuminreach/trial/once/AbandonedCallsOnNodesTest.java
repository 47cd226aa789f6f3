package org.cuminreach.trial.once;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.settings.Address;

class AbandonedCallsOnNodesTest {
    private static final int NODES = 3;
    private static final int TIMEOUT_MILLIS = 10_000;

    /** Time after the close of a connection within which its calls must have ended. */
    private static final long END_MILLIS = 500;

    private static final HttpHeaders NO_HEADERS = new DefaultHttpHeaders();

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final AtomicInteger running = new AtomicInteger();
    private InProcessMesh mesh;

    @AfterTry
    void stop() throws Exception {
        if (mesh != null) {
            mesh.close();
        }
        for (ScriptedTarget target : targets) {
            target.close();
        }
    }

    @Example
    void pipelinedCallsEndAtTheirTargetsWhenTheConnectionIsClosed() throws Exception {
        startMesh(this::runUntilClosed);
        try (Socket socket = connect(mesh.settings(0).callerAddress())) {
            sendPipelined(socket, 40);
            InProcessMesh.await(() -> running.get() > 0);
            Thread.sleep(300);
        }

        Thread.sleep(END_MILLIS);
        assertThat(running.get()).isEqualTo(0);
    }

    @Example
    void waitingCallsOfCallersThatLeftAreNotSentToTargets() throws Exception {
        startMesh(this::runUntilClosed);
        List<Socket> callers = new ArrayList<>();
        for (int caller = 0; caller < 90; caller++) {
            Socket socket = connect(mesh.settings(caller % NODES).callerAddress());
            callers.add(socket);
            sendPipelined(socket, 1);
        }
        InProcessMesh.await(() -> running.get() > 0);
        Thread.sleep(500);
        for (Socket caller : callers) {
            caller.close();
        }
        Thread.sleep(END_MILLIS);
        int sent = sentRequests();
        assertThat(running.get()).isEqualTo(0);
        Thread.sleep(1_500);

        assertThat(sentRequests()).isEqualTo(sent);
    }

    /** Runs a request until its connection is closed. */
    private void runUntilClosed(String head, String body, Socket socket) throws IOException {
        if (pathOf(head).equals("/ready")) {
            ScriptedTarget.writeAnswer(socket, 200, "ready");
            return;
        }
        running.incrementAndGet();
        try {
            if (socket.getInputStream().read() < 0) {
                throw new IOException("closed by the node");
            }
        } finally {
            running.decrementAndGet();
        }
    }

    private int sentRequests() {
        return targets.stream().mapToInt(target -> target.requestHeads().size()).sum();
    }

    private void startMesh(ScriptedTarget.Script script) throws Exception {
        for (int number = 0; number < NODES; number++) {
            targets.add(ScriptedTarget.start(script));
        }
        mesh =
                InProcessMesh.start(
                        Files.createTempDirectory("abandoned"),
                        targets.stream().map(ScriptedTarget::address).toList(),
                        TIMEOUT_MILLIS);
        for (int node = 0; node < NODES; node++) {
            int started = node;
            InProcessMesh.await(
                    () -> isAnswered(mesh.send(started, "GET", "/ready", NO_HEADERS, "").join()));
        }
    }

    private static Socket connect(Address address) throws IOException {
        return new Socket(address.host(), address.port());
    }

    private static void sendPipelined(Socket socket, int count) throws IOException {
        String call = "GET /slow HTTP/1.1\r\nHost: " + InProcessMesh.HOST + "\r\n\r\n";
        socket.getOutputStream().write(call.repeat(count).getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private static String pathOf(String head) {
        return head.split(" ", 3)[1];
    }

    private static boolean isAnswered(SendOutcome outcome) {
        return outcome instanceof SendOutcome.Completed completed
                && completed
                        .answer()
                        .headers()
                        .get(MeshHeaders.OUTCOME, "none")
                        .equals(MeshHeaders.ANSWERED);
    }
}
