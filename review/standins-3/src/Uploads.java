import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Uploads come at a steady rate while the servers are slow for some seconds. */
final class Uploads {
    static final int BODY_BYTES = 2_000_000;
    static final int PER_SECOND = 20;
    static final long WORK_MILLIS = 160;
    static final long SLOW_FACTOR = 12;
    static final long SLOW_FROM = 5_000;
    static final long SLOW_UNTIL = 14_000;
    static final long LENGTH = 20_000;
    static final double TIMEOUT = 4;
    static final long DEADLINE = 9_000;

    /** What became of a request; the times are -1 while that has not happened. */
    static final class Sent {
        final String id;
        volatile long writtenMillis = -1;
        volatile long answeredMillis = -1;
        volatile String end = "no answer";

        Sent(String id) {
            this.id = id;
        }
    }

    public static void main(String[] args) throws Exception {
        Kit.begin(args[0]);
        AtomicBoolean slow = new AtomicBoolean();
        Mesh mesh = new Mesh(2, 9, TIMEOUT, run -> {
            boolean upload = run.path().startsWith("/upload");
            Thread.sleep(!upload ? 20 : slow.get() ? WORK_MILLIS * SLOW_FACTOR : WORK_MILLIS);
            return ("got " + run.body().length + " of " + run.id()).getBytes();
        }, "safe", "upload");
        List<Sent> all = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        byte[] body = new byte[BODY_BYTES];
        long begin = Kit.now();
        for (int i = 0; i * 1000L / PER_SECOND < LENGTH; i++) {
            long at = i * 1000L / PER_SECOND;
            Kit.sleep(begin + at - Kit.now());
            boolean now = Kit.TROUBLE && at >= SLOW_FROM && at < SLOW_UNTIL;
            if (slow.getAndSet(now) != now) {
                Kit.log("all servers are " + (now ? SLOW_FACTOR + " times slower" : "as before"));
            }
            Sent sent = new Sent("up-" + i);
            all.add(sent);
            clients.add(Thread.startVirtualThread(() -> send(mesh.nodes.get(0), sent, body)));
        }
        for (Thread client : clients) {
            client.join();
        }
        report(mesh, all);
    }

    private static void send(Kit.Proc node, Sent sent, byte[] body) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(node.host, Kit.port + 10), 1000);
            socket.setSoTimeout((int) DEADLINE);
            OutputStream output = socket.getOutputStream();
            output.write(Kit.request("POST", "/upload/photo", "", Map.of("Host", "shop.example",
                    "Cuminreach-Attempt-Id", sent.id, "Cuminreach-Deadline-Ms", Long.toString(DEADLINE)), body));
            output.flush();
            sent.writtenMillis = Kit.now();
            Kit.Answer answer = Kit.readAnswer(new BufferedInputStream(socket.getInputStream()));
            sent.answeredMillis = Kit.now();
            sent.end = Integer.toString(answer.status());
        } catch (SocketTimeoutException none) {
            sent.end = "no answer in " + DEADLINE + " ms";
        } catch (IOException closed) {
            sent.answeredMillis = Kit.now();
            sent.end = "closed: " + closed.getMessage();
        }
    }

    private static void report(Mesh mesh, List<Sent> all) {
        Map<String, Integer> ends = new TreeMap<>();
        int unansweredAtTimeout = 0;
        int unansweredLater = 0;
        int never = 0;
        long timeout = Math.round(TIMEOUT * 1000);
        for (Sent sent : all) {
            boolean ran = mesh.servers.stream().anyMatch(server -> server.runsById.containsKey(sent.id));
            ends.merge(sent.end + (ran ? ", ran" : ", not run"), 1, Integer::sum);
            if (sent.writtenMillis < 0) {
                Kit.log(sent.id + " was not written whole: " + sent.end);
                continue;
            }
            long millis = sent.answeredMillis < 0 ? Long.MAX_VALUE : sent.answeredMillis - sent.writtenMillis;
            Kit.log(sent.id + " " + sent.end + (sent.answeredMillis < 0 ? "" : " after " + millis + " ms") + (ran ? ", ran" : ", not run"));
            unansweredAtTimeout += millis > timeout ? 1 : 0;
            unansweredLater += millis > timeout + 500 ? 1 : 0;
            never += sent.answeredMillis < 0 ? 1 : 0;
        }
        Kit.log("ends of " + all.size() + " requests: " + ends);
        for (Kit.Proc node : mesh.nodes) {
            String text = "";
            try {
                text = java.nio.file.Files.readString(node.out);
            } catch (IOException unread) {
                text = "";
            }
            Kit.log(node.name + " runs: " + node.process.isAlive() + ", OutOfMemoryError in its log: "
                    + (text.split("OutOfMemoryError", -1).length - 1));
        }
        boolean broken = unansweredLater >= 8 && unansweredLater * 2 > unansweredAtTimeout;
        Kit.end(broken ? 1 : 0, unansweredAtTimeout + " requests had no answer at timeout-s, " + unansweredLater
                + " of them none half a second later, " + never + " none at all");
    }
}
