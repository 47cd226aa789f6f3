package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * TWICE: servers refuse requests, and send a part of the refusal once more as additional bytes. The
 * node takes these bytes for the begin of the answer to the next request on the connection, so that
 * a request that has run counts as refused, and is sent to a second server.
 */
final class LeftoverBytes extends Case {
    private static final int ROUNDS = 5;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final int TARGETS = 2;
    private static final int USUAL_READS = 80;

    public static void main(String[] arguments) {
        run(new LeftoverBytes(), arguments);
    }

    /** Refuses requests to a path that ends with "full" and runs all others. */
    private static final class Server implements AppServer.Behaviour {
        private final Record record;

        private Server(Record record) {
            this.record = record;
        }

        @Override
        public boolean runs(Http.Message request) {
            return !request.target().endsWith("full");
        }

        @Override
        public void answer(Http.Message request, OutputStream out) throws IOException {
            if (runs(request)) {
                AppServer.answerWell(request, out);
                return;
            }
            String attempt = request.header("Cuminreach-Attempt-Id");
            String refusal =
                    "HTTP/1.1 503 Service Unavailable\r\nCuminreach-Not-Executed: full\r\n"
                            + "Server: yard-ops\r\nCuminreach-Attempt-Id: "
                            + attempt
                            + "\r\nContent-Length: 0\r\n\r\n";
            out.write(Http.bytes(refusal));
            record.line("server refuses %s as not executed", attempt);
            if (TROUBLE) {
                String additional = refusal.substring(0, refusal.indexOf("-ops"));
                out.write(Http.bytes(additional));
                record.line(
                        "server sends additional bytes after this answer: \"%s\"",
                        additional.replace("\r\n", "\\r\\n"));
            }
            out.flush();
        }
    }

    @Override
    boolean isBroken(Deployment deployment) throws Exception {
        Record record = deployment.record;
        deployment.addControl("zone-a");
        deployment.addControl("zone-b");
        deployment.addControl("zone-c");
        Deployment.Machine callers = deployment.addNode("zone-a", "order-app");
        Deployment.Machine others = deployment.addNode("zone-a", "order-app");
        for (int target = 0; target < TARGETS; target++) {
            deployment.addNode("zone-b", "yard-ops");
        }
        deployment.startAll();
        new Operator(deployment)
                .put(
                        "0",
                        Operator.configuration(
                                1,
                                List.of(
                                        Operator.route("order", "/order/", "unsafe", 2, "yard-ops"),
                                        Operator.route("read", "/read/", "safe", 2, "yard-ops")),
                                List.of("order-app", "yard-ops")),
                        20);
        deployment.awaitReady(20);
        List<AppServer> servers =
                deployment.nodes().stream()
                        .filter(node -> node.service().equals("yard-ops"))
                        .map(node -> new AppServer(deployment, node, 6, new Server(record)))
                        .toList();
        List<AppServer> sound =
                Stream.of(callers, others)
                        .map(node -> new AppServer(deployment, node, 6, AppServer::answerWell))
                        .toList();
        Client.awaitService(callers, "/read/warm");
        // Both servers are known and warm before the orders come.
        Deployment.sleep(3_000);
        int twice = 0;
        for (int round = 0; round < ROUNDS; round++) {
            String order = "order-" + round;
            Client.readUsually(
                    callers, "/read/one", "read-" + round, USUAL_READS, DEADLINE_MILLIS);
            send(record, callers, "GET", "/read/full", "full-" + round);
            send(record, callers, "POST", "/order/one", order);
            long runs =
                    servers.stream()
                            .flatMap(server -> server.runs.stream())
                            .filter(run -> run.attempt().equals(order))
                            .count();
            record.line("%s was run %d times", order, runs);
            twice += runs > 1 ? 1 : 0;
        }
        Stream.concat(servers.stream(), sound.stream()).forEach(AppServer::close);
        record.line("%d of %d orders were run more than once", twice, ROUNDS);
        return twice > 0;
    }

    private static void send(
            Record record,
            Deployment.Machine node,
            String method,
            String target,
            String attempt) {
        try (Http.Connection connection = new Http.Connection(node.ip, node.outbound())) {
            byte[] body = method.equals("POST") ? Http.bytes("an order") : new byte[0];
            connection.send(
                    Client.head(method, target, attempt, DEADLINE_MILLIS, body.length), body);
            Optional<Http.Message> answer = connection.read(DEADLINE_MILLIS + 1_000);
            record.line(
                    "client: to %s comes %s, body \"%s\"",
                    attempt,
                    answer.map(Http.Message::startLine).orElse("nothing"),
                    answer.map(message -> message.text().strip()).orElse(""));
        } catch (IOException ended) {
            record.line("client: %s ended: %s", attempt, ended);
        }
    }
}
