import java.io.*;
import java.net.*;
import java.util.*;

/** A client sends many safe requests on one connection before the first is answered. */
final class Pipelined {
    static final int REQUESTS = 160;

    public static void main(String[] args) throws Exception {
        Kit.begin(args[0]);
        Mesh mesh = new Mesh(3, 6, 8, run -> {
            Thread.sleep(run.path().endsWith("/warm") ? 5 : 600);
            return ("read by " + run.id()).getBytes();
        }, "safe", "unsafe");
        int connections = Kit.TROUBLE ? 1 : 4;
        int lost = 0;
        int answered = 0;
        for (int round = 0; round < 5; round++) {
            List<Thread> clients = new ArrayList<>();
            Set<String> gotAnswer = Collections.synchronizedSet(new HashSet<>());
            for (int connection = 0; connection < connections; connection++) {
                String prefix = "p-" + round + "-" + connection + "-";
                int count = REQUESTS / connections;
                clients.add(Thread.startVirtualThread(() -> send(mesh.nodes.get(0), prefix, count, gotAnswer)));
            }
            for (Thread client : clients) {
                client.join();
            }
            // Whatever was passed on has reached its server by now.
            Kit.sleep(500);
            int lostNow = 0;
            for (Server server : mesh.servers) {
                for (Server.Run run : server.runs) {
                    boolean ofRound = run.id().startsWith("p-" + round + "-");
                    lostNow += ofRound && !gotAnswer.contains(run.id()) ? 1 : 0;
                }
            }
            lost += lostNow;
            answered += gotAnswer.size();
            Kit.log("round " + round + ": " + gotAnswer.size() + " of " + REQUESTS + " answered, " + lostNow
                    + " were passed on to a server and got no answer");
        }
        if (!Kit.TROUBLE && answered == 0) {
            Kit.end(2, "no request was answered");
        }
        Kit.end(lost > 3 ? 1 : 0, lost + " requests were passed on to a sound server and their connection was closed without an answer");
    }

    private static void send(Kit.Proc node, String prefix, int count, Set<String> gotAnswer) {
        int sent = 0;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(node.host, Kit.port + 10), 1000);
            socket.setSoTimeout(8000);
            OutputStream output = socket.getOutputStream();
            InputStream input = new BufferedInputStream(socket.getInputStream());
            // The connection is a kept one: a first request on it has been answered.
            output.write(Kit.request("GET", "/safe/warm", "", Map.of("Host", "shop.example",
                    "Cuminreach-Attempt-Id", "kept-" + prefix, "Cuminreach-Deadline-Ms", "8000"), new byte[0]));
            if (Kit.readAnswer(input).status() != 200) {
                Kit.log("the first request on " + prefix + " was not answered with success");
                return;
            }
            for (int i = 0; i < count; i++) {
                output.write(Kit.request("GET", "/safe/price-" + i, "", Map.of("Host", "shop.example",
                        "Cuminreach-Attempt-Id", prefix + i, "Cuminreach-Deadline-Ms", "8000"), new byte[0]));
                output.flush();
                sent++;
                Kit.sleep(2);
            }
            Kit.log(prefix + "0 to " + prefix + (count - 1) + " sent on one connection");
            for (int i = 0; i < count; i++) {
                Kit.Answer answer = Kit.readAnswer(input);
                gotAnswer.add(prefix + i);
                if (i == 0 || answer.status() != 200) {
                    Kit.log(prefix + i + " answered " + answer.status());
                }
            }
        } catch (SocketTimeoutException slow) {
            // A connection that the node leaves open is no break of the rule.
            for (int i = 0; i < count; i++) {
                gotAnswer.add(prefix + i);
            }
            Kit.log("connection of " + prefix + " is still open");
        } catch (IOException closed) {
            Kit.log("connection of " + prefix + " ends after " + sent + " were sent: " + closed.getMessage());
        }
    }
}
