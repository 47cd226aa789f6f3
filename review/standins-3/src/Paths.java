import java.util.*;

/** Requests whose paths hold dot segments, or that end with an empty query. */
final class Paths {
    public static void main(String[] args) throws Exception {
        Kit.begin(args[0]);
        Mesh mesh = new Mesh(2, 6, 4, run -> ("ran " + run.path()).getBytes(), "safe", "unsafe");
        List<String> paths = Kit.TROUBLE
                ? List.of("/unsafe/orders?", "/unsafe/orders/./7", "/unsafe/orders/7/../8", "/unsafe/orders/7/..",
                        "/safe/../unsafe/orders/9", "/unsafe/orders/7/.?x=1")
                : List.of("/unsafe/orders", "/unsafe/orders/7", "/unsafe/orders/8", "/unsafe/orders/", "/unsafe/orders/9",
                        "/unsafe/orders/7?x=1");
        int changed = 0;
        int sent = 0;
        for (int round = 0; round < 4; round++) {
            for (String path : paths) {
                String id = "path-" + sent;
                sent++;
                Kit.Answer answer = Mesh.one(mesh.nodes.get(round % 2), "POST", path, id, 3000, "order".getBytes());
                Kit.log(id + " sent POST " + path + ", answered " + answer.status() + " " + answer.note() + " seal "
                        + answer.headers().get("Cuminreach-Response-Seal"));
                for (Server server : mesh.servers) {
                    for (Server.Run run : server.runs) {
                        if (run.id().equals(id)) {
                            boolean same = run.path().equals(path);
                            Kit.log(id + " run by " + server.id + " as " + run.method() + " " + run.path() + (same ? "" : " CHANGED"));
                            changed += same ? 0 : 1;
                        }
                    }
                }
            }
        }
        Kit.end(changed > 0 ? 1 : 0, changed + " of " + sent + " requests were run with another path or query than was sent");
    }
}
