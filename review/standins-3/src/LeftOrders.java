import java.io.*;
import java.net.*;
import java.util.*;

/** Clients leave before the answer and send the order again, as a request of its own. */
final class LeftOrders {
    public static void main(String[] args) throws Exception {
        Kit.begin(args[0]);
        Mesh mesh = new Mesh(3, 6, 4, run -> {
            Thread.sleep(run.path().startsWith("/unsafe") ? 400 : 20);
            return ("order placed by " + run.id()).getBytes();
        }, "safe", "unsafe");
        // Machines of the platform have been up for a while when this happens.
        Kit.sleep(30_000);
        int foreign = 0;
        int resent = 0;
        int answered = 0;
        for (int i = 0; i < 12; i++) {
            Kit.Proc node = mesh.nodes.get(i % 3);
            String key = UUID.randomUUID().toString();
            String path = "/unsafe/order-" + i;
            if (Kit.TROUBLE) {
                leave(node, "first-" + i, key, path);
                Kit.sleep(700);
                Kit.Answer answer = order(node, "again-" + i, key, path);
                resent++;
                foreign += check(mesh, "again-" + i, answer);
                answered += answer.status() == 200 ? 1 : 0;
            } else {
                Kit.Answer answer = order(node, "first-" + i, key, path);
                foreign += check(mesh, "first-" + i, answer);
                answered += answer.status() == 200 ? 1 : 0;
            }
        }
        if (answered == 0) {
            Kit.end(2, "no order was answered with success");
        }
        Kit.end(foreign > 0 ? 1 : 0, resent + " orders were sent again, " + foreign + " answers belong to another request");
    }

    private static Map<String, String> headers(String id, String key) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "shop.example");
        headers.put("Cuminreach-Attempt-Id", id);
        headers.put("Cuminreach-Deadline-Ms", "3000");
        headers.put("Idempotency-Key", key);
        return headers;
    }

    private static Kit.Answer order(Kit.Proc node, String id, String key, String path) {
        Kit.log(id + " sent: POST " + path + " Idempotency-Key " + key);
        return Kit.call(node.outbound(), "POST", path, headers(id, key), "two manes".getBytes(), 4000);
    }

    private static void leave(Kit.Proc node, String id, String key, String path) throws IOException {
        Kit.log(id + " sent: POST " + path + " Idempotency-Key " + key);
        try (Socket socket = new Socket(node.host, Kit.port + 10)) {
            socket.getOutputStream().write(Kit.request("POST", path, "", headers(id, key), "two manes".getBytes()));
            socket.getOutputStream().flush();
            Kit.sleep(150);
        }
        Kit.log(id + " leaves after 150 ms");
    }

    /** Returns 1 if the answer is a success of another request. */
    private static int check(Mesh mesh, String id, Kit.Answer answer) {
        boolean ran = mesh.servers.stream().anyMatch(server -> server.runsById.containsKey(id));
        String seal = answer.headers().get("Cuminreach-Response-Seal");
        Kit.log(id + " answered " + answer.status() + " " + answer.note() + " Cuminreach-Attempt-Id "
                + answer.headers().get("Cuminreach-Attempt-Id") + " seal " + seal + " body '" + answer.text().strip()
                + "', " + (ran ? "ran" : "no server ran it"));
        return answer.status() / 100 == 2 && !("seal-" + id).equals(seal) ? 1 : 0;
    }
}
