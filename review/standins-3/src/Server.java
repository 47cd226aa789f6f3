import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** A sound server beside a node, as the pages describe one: it registers itself, runs and answers. */
final class Server {
    /** A request as the server got it. */
    record Run(String id, String method, String path, byte[] body, Map<String, String> headers, long atMillis) {}

    interface Work {
        /** Runs a request and returns its body; the pause is in here. */
        byte[] run(Run run) throws Exception;
    }

    final Kit.Proc node;
    final String id;
    final int slots;
    final Work work;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final AtomicInteger running = new AtomicInteger();
    final Map<String, Integer> runsById = new ConcurrentHashMap<>();
    volatile boolean ended;
    volatile boolean beats = true;
    private final long born = System.currentTimeMillis();
    private final ServerSocket listening;
    private final Semaphore free;
    private int sequence;

    Server(Kit.Proc node, String id, int slots, Work work) throws IOException {
        this.node = node;
        this.id = id;
        this.slots = slots;
        this.work = work;
        free = new Semaphore(slots, true);
        listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new InetSocketAddress(node.host, Kit.port + 14), 256);
        Thread.startVirtualThread(this::accept);
        Thread.startVirtualThread(this::beat);
    }

    private void accept() {
        while (!ended) {
            try {
                Socket socket = listening.accept();
                Thread.startVirtualThread(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void beat() {
        while (!ended) {
            if (beats) {
                sequence++;
                String body = "{\"address\":\"" + node.app() + "\",\"born\":" + born + ",\"info\":{\"service\":\""
                        + node.more.get("service") + "\",\"version\":\"v1\",\"zone\":\"" + node.zone + "\",\"slots\":" + slots
                        + "},\"status\":{\"state\":\"ready\",\"seq\":" + sequence + ",\"cold-remaining-s\":0}}";
                Kit.call(node.control(), "POST", "/Instances.Heartbeat/" + id,
                        Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8), 1000);
            }
            Kit.sleep(500);
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            while (!ended) {
                String[] line = Kit.line(input).split(" ");
                Map<String, String> headers = Kit.head(input);
                byte[] body = Kit.body(input, headers);
                String attempt = headers.getOrDefault("Cuminreach-Attempt-Id", "");
                if (line[1].equals("/health")) {
                    output.write(("HTTP/1.1 200 OK\r\nCuminreach-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n").getBytes());
                    output.flush();
                    continue;
                }
                String target = headers.get("Cuminreach-Target-Instance");
                if (target != null && !target.equals(id)) {
                    output.write(("HTTP/1.1 421 Misdirected\r\nCuminreach-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n").getBytes());
                    output.flush();
                    continue;
                }
                Run run = new Run(attempt, line[0], line[1], body, headers, Kit.now());
                free.acquire();
                byte[] result;
                try {
                    running.incrementAndGet();
                    runs.add(run);
                    runsById.merge(attempt, 1, Integer::sum);
                    result = work.run(run);
                } finally {
                    running.decrementAndGet();
                    free.release();
                }
                output.write(("HTTP/1.1 200 OK\r\nCuminreach-Attempt-Id: " + attempt + "\r\nCuminreach-Response-Seal: seal-" + attempt
                        + "\r\nCuminreach-Server-Load: " + running.get() + ",0," + slots + "\r\nKeep-Alive: timeout=10\r\nContent-Length: "
                        + result.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                output.write(result);
                output.flush();
            }
        } catch (Exception closed) {
            // The connection has ended.
        }
    }

    void end() throws IOException {
        ended = true;
        listening.close();
    }
}
