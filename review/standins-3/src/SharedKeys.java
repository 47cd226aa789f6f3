import java.util.*;

/** Two shops number their orders from 1, each in the header Idempotency-Key. */
final class SharedKeys {
    public static void main(String[] args) throws Exception {
        Kit.begin(args[0]);
        Mesh mesh = new Mesh(3, 6, 4, run -> {
            Thread.sleep(run.path().startsWith("/unsafe") ? 100 : 20);
            return ("order " + run.id() + " placed for " + run.headers().get("X-Shop")).getBytes();
        }, "safe", "unsafe");
        // Machines of the platform have been up for a while when this happens.
        Kit.sleep(30_000);
        int foreign = 0;
        int sent = 0;
        int answered = 0;
        for (int order = 1; order <= 12; order++) {
            for (String shop : List.of("nidaros", "lade")) {
                String id = shop + "-" + order;
                String key = Kit.TROUBLE ? "order-" + order : shop + "-order-" + order;
                Kit.Proc node = mesh.nodes.get((order + (shop.equals("lade") ? 1 : 0)) % 3);
                Kit.Answer answer = order(node, id, key, shop);
                sent++;
                foreign += check(mesh, id, answer);
                answered += answer.status() == 200 ? 1 : 0;
            }
        }
        if (answered < sent / 2) {
            Kit.end(2, "fewer than half of the orders were answered with success");
        }
        Kit.end(foreign > 0 ? 1 : 0, foreign + " of " + sent + " orders got the answer of another request");
    }

    private static Kit.Answer order(Kit.Proc node, String id, String key, String shop) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "shop.example");
        headers.put("Cuminreach-Attempt-Id", id);
        headers.put("Cuminreach-Deadline-Ms", "3000");
        headers.put("Idempotency-Key", key);
        headers.put("X-Shop", shop);
        Kit.log(id + " sent to " + node.name + ": POST /unsafe/orders Idempotency-Key " + key + " X-Shop " + shop);
        return Kit.call(node.outbound(), "POST", "/unsafe/orders", headers, "two manes".getBytes(), 4000);
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
