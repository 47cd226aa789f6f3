package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/** Application server of the platform beside one node: sends heartbeats and runs requests. */
final class AppServer implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 1_000;
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    /** What the server does with its requests. */
    interface Behaviour {
        /** Answers a request that has been read completely. */
        void answer(Http.Message request, OutputStream out)
                throws IOException, InterruptedException;

        /** Tells whether the server runs a request, rather than refuses it. */
        default boolean runs(Http.Message request) {
            return true;
        }

        /** Tells whether it has answered a request of which only the head was read. */
        default boolean answeredEarly(String head, Socket socket)
                throws IOException, InterruptedException {
            return false;
        }
    }

    /**
     * A request that the server began to work on.
     *
     * @param attempt its attempt id
     * @param method its method
     * @param target its path and query
     * @param bodyBytes length of its body
     */
    record Run(String attempt, String method, String target, int bodyBytes) {}

    final Deployment.Machine machine;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final String id = "i-" + Integer.toHexString(ThreadLocalRandom.current().nextInt() | 1 << 30);
    private final Deployment deployment;
    private final Behaviour behaviour;
    private final int slots;
    private final long bornMillis = System.currentTimeMillis();
    private ServerSocket listening;
    private volatile boolean closed;
    private long sequence;

    AppServer(Deployment deployment, Deployment.Machine machine, int slots, Behaviour behaviour) {
        this.deployment = deployment;
        this.machine = machine;
        this.slots = slots;
        this.behaviour = behaviour;
        try {
            listening = new ServerSocket();
            listening.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            listening.bind(
                    new InetSocketAddress(InetAddress.getByName(machine.ip), machine.appPort()),
                    200);
        } catch (IOException failure) {
            throw new CannotRunException("cannot listen for a server: " + failure);
        }
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::sendHeartbeats);
    }

    /** Answers with a body that names the attempt, as a sound server does. */
    static void answerWell(Http.Message request, OutputStream out) throws IOException {
        String attempt = request.header("Cuminreach-Attempt-Id");
        byte[] body = Http.bytes("body of " + attempt + "\n");
        out.write(
                Http.bytes(
                        "HTTP/1.1 200 OK\r\nCuminreach-Attempt-Id: "
                                + attempt
                                + "\r\nCuminreach-Response-Seal: seal-"
                                + attempt
                                + "\r\nKeep-Alive: timeout=10\r\nContent-Length: "
                                + body.length
                                + "\r\n\r\n"));
        out.write(body);
        out.flush();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listening.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 1_024);
            Optional<Http.Message> request = next(in, socket);
            while (request.isPresent() && !closed) {
                Http.Message next = request.get();
                String attempt = next.header("Cuminreach-Attempt-Id");
                if (behaviour.runs(next)) {
                    runs.add(new Run(attempt, next.method(), next.target(), next.body().length));
                }
                deployment.record.line(
                        "server %s %s %s: %s, %d bytes of body, deadline %s ms",
                        machine.name,
                        behaviour.runs(next) ? "runs" : "gets",
                        attempt,
                        next.startLine(),
                        next.body().length,
                        next.header("Cuminreach-Deadline-Ms"));
                behaviour.answer(next, socket.getOutputStream());
                deployment.record.line("server %s has answered %s", machine.name, attempt);
                request = next(in, socket);
            }
        } catch (IOException | InterruptedException ended) {
            deployment.record.line("server %s: connection ended: %s", machine.name, ended);
        }
    }

    private Optional<Http.Message> next(BufferedInputStream in, Socket socket)
            throws IOException, InterruptedException {
        Optional<String> head = Http.readHead(in);
        return head.isEmpty() || behaviour.answeredEarly(head.get(), socket)
                ? Optional.empty()
                : Http.readBody(head.get(), in, false);
    }

    private void sendHeartbeats() {
        while (!closed) {
            sequence++;
            heartbeat(sequence, bornMillis, "ready");
            Deployment.sleep(HEARTBEAT_MILLIS);
        }
    }

    /** Sends a heartbeat; returns the status of the answer, or 0 without one. */
    int heartbeat(long number, long born, String state) {
        byte[] body =
                Http.bytes(
                        """
                        {"address":"%s:%d","born":%d,"info":{"service":"%s","version":"v1",\
                        "zone":"%s","slots":%d},"status":{"state":"%s","seq":%d,\
                        "cold-remaining-s":0}}"""
                                .formatted(
                                        machine.ip,
                                        machine.appPort(),
                                        born,
                                        machine.service(),
                                        machine.zone,
                                        slots,
                                        state,
                                        number));
        try {
            return Http.exchange(
                            machine.ip,
                            machine.control(),
                            "POST /Instances.Heartbeat/"
                                    + id
                                    + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
                                    + "Content-Type: application/json\r\nContent-Length: "
                                    + body.length
                                    + "\r\n\r\n",
                            body,
                            1_000)
                    .status();
        } catch (IOException noAnswer) {
            return 0;
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            listening.close();
        } catch (IOException ignored) {
            // It is given up in any case.
        }
    }
}
