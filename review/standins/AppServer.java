package review;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An application server beside a node: runs requests, echoes their ids, refuses those that are meant
 * for another instance, and sends heartbeats to its node.
 */
final class AppServer implements AutoCloseable {
    private static final int SLOTS = 8;
    private static final long HEARTBEAT_MILLIS = 1_500;

    private final Deployment.Machine machine;
    private final String id;
    private final String version;
    private final long workMillis;
    private final long born = System.currentTimeMillis();
    private final ServerSocket listening;
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicInteger running = new AtomicInteger();

    /** Ids of the requests that ran, with how often. */
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    private volatile String state = "ready";
    private volatile boolean open = true;

    AppServer(Deployment.Machine machine, String id, String version, long workMillis) throws IOException {
        this.machine = machine;
        this.id = id;
        this.version = version;
        this.workMillis = workMillis;
        listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(machine.application());
        Thread.ofPlatform().daemon().start(this::accept);
        Thread.ofPlatform().daemon().start(this::sendHeartbeats);
    }

    private void accept() {
        while (open) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                Thread.ofPlatform().daemon().start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            while (open) {
                answer(socket, Http.read(socket.getInputStream()));
            }
        } catch (IOException | InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(Socket socket, Http.Message request) throws IOException, InterruptedException {
        if (request.start().contains(" /health ")) {
            Http.send(socket, "HTTP/1.1 200 OK\r\nCuminreach-Instance-Id: " + id + load() + "\r\nContent-Type: text/plain", "ok");
            return;
        }
        String attempt = request.headers().getOrDefault("cuminreach-attempt-id", "");
        if (!request.headers().getOrDefault("cuminreach-target-instance", id).equals(id)) {
            refuse(socket, "421 Misdirected Request", attempt);
        } else if (attempt.isEmpty()) {
            refuse(socket, "400 Bad Request", attempt);
        } else if (running.get() >= SLOTS) {
            refuse(socket, "503 Service Unavailable", attempt);
        } else {
            running.incrementAndGet();
            try {
                runs.computeIfAbsent(attempt, first -> new AtomicInteger()).incrementAndGet();
                Thread.sleep(workMillis);
            } finally {
                running.decrementAndGet();
            }
            Http.send(
                    socket,
                    "HTTP/1.1 200 OK\r\nCuminreach-Attempt-Id: " + attempt
                            + "\r\nCuminreach-Response-Seal: " + id + "." + attempt + load()
                            + "\r\nKeep-Alive: timeout=10\r\nContent-Type: text/plain",
                    id + " " + version + " ran " + attempt);
        }
    }

    private void refuse(Socket socket, String status, String attempt) throws IOException {
        Http.send(
                socket,
                "HTTP/1.1 " + status + "\r\nCuminreach-Not-Executed: 1\r\nCuminreach-Attempt-Id: " + attempt + load(),
                "not run");
    }

    private String load() {
        return "\r\nCuminreach-Server-Load: " + running.get() + ",0," + SLOTS;
    }

    int ran() {
        return runs.size();
    }

    private void sendHeartbeats() {
        while (open) {
            heartbeat();
            try {
                Thread.sleep(HEARTBEAT_MILLIS);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private void heartbeat() {
        String body =
                """
                {"address":"%s","born":%d,"info":{"service":"%s","version":"%s","zone":"%s","slots":%d},\
                "status":{"state":"%s","seq":%d,"cold-remaining-s":0}}"""
                        .formatted(
                                Deployment.text(machine.application()), born, machine.service, version,
                                machine.zone, SLOTS, state, sequence.incrementAndGet());
        try {
            Http.exchange(
                    machine.control(),
                    "POST /Instances.Heartbeat/" + id + " HTTP/1.1\r\nHost: "
                            + Deployment.text(machine.control()) + "\r\nContent-Type: application/json",
                    body,
                    1_000);
        } catch (IOException unacknowledged) {
            // The next heartbeat comes in time.
        }
    }

    @Override
    public void close() throws IOException {
        open = false;
        listening.close();
    }
}
