package org.cuminreach.trial.once;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterTry;
import org.cuminreach.settings.Address;

class PlannedStopTest {
    private static final int NODES = 3;
    private static final int TIMEOUT_MILLIS = 4_000;
    private static final int CLIENTS = 16;
    private static final int MAX_WORK_MILLIS = 400;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final Set<String> passedOn = ConcurrentHashMap.newKeySet();
    private final Set<String> unanswered = ConcurrentHashMap.newKeySet();
    private final AtomicInteger lastRequest = new AtomicInteger();
    private InProcessMesh mesh;

    @AfterTry
    void stop() throws Exception {
        mesh.close();
        for (ScriptedTarget target : targets) {
            target.close();
        }
        targets.clear();
        passedOn.clear();
        unanswered.clear();
    }

    @Property(seed = "3621", tries = 2)
    void requestsThatComeDuringPlannedStopAreAnsweredOrNotPassedOn(@ForAll long seed)
            throws Exception {
        Random random = new Random(seed);
        for (int number = 0; number < NODES; number++) {
            targets.add(ScriptedTarget.start(this::work));
        }
        mesh =
                InProcessMesh.start(
                        Files.createTempDirectory("planned-stop"),
                        targets.stream().map(ScriptedTarget::address).toList(),
                        TIMEOUT_MILLIS);
        AtomicBoolean stopped = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            long clientSeed = random.nextLong();
            boolean kept = client % 2 == 0;
            clients.add(Thread.ofVirtual().start(() -> call(stopped, kept, clientSeed)));
        }
        Thread.sleep(1_500);
        mesh.stopNode(0);
        stopped.set(true);
        for (Thread client : clients) {
            client.join();
        }
        mesh.restartNode(0);

        unanswered.retainAll(passedOn);
        assertThat(passedOn.size()).isGreaterThan(CLIENTS);
        assertThat(unanswered).isEmpty();
    }

    private void work(String head, String body, Socket socket)
            throws IOException, InterruptedException {
        passedOn.add(head.split(" ", 3)[1]);
        Thread.sleep(lastRequest.get() * 37L % MAX_WORK_MILLIS);
        ScriptedTarget.writeAnswer(socket, 200, "done");
    }

    /** Sends requests that may not be repeated until the node no longer accepts connections. */
    private void call(AtomicBoolean stopped, boolean kept, long seed) {
        Random random = new Random(seed);
        Address node = mesh.settings(0).callerAddress();
        while (!stopped.get()) {
            try (Socket socket = new Socket(node.host(), node.port())) {
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.ISO_8859_1));
                do {
                    Thread.sleep(random.nextInt(kept ? 300 : 30));
                    send(socket, in);
                } while (kept);
            } catch (SocketException closed) {
                pause(20);
            } catch (IOException | InterruptedException ended) {
                pause(1);
            }
        }
    }

    private void send(Socket socket, BufferedReader in) throws IOException {
        String path = "/order-" + lastRequest.incrementAndGet();
        String request =
                "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 1\r\n\r\nx"
                        .formatted(path, InProcessMesh.HOST);
        unanswered.add(path);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        boolean closes = readAnswer(in);
        unanswered.remove(path);
        if (closes) {
            throw new IOException("the node closes the connection");
        }
    }

    private static boolean readAnswer(BufferedReader in) throws IOException {
        int length = 0;
        boolean closes = false;
        while (true) {
            String line = in.readLine();
            if (line == null) {
                throw new IOException("no complete answer");
            }
            if (line.isEmpty()) {
                break;
            }
            String header = line.toLowerCase(Locale.ROOT);
            closes |= header.equals("connection: close");
            if (header.startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(header.indexOf(':') + 1).strip());
            }
        }
        for (int read = 0; read < length; read++) {
            if (in.read() < 0) {
                throw new IOException("no complete body");
            }
        }
        return closes;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
