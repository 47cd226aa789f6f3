package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: a node that gets SIGTERM takes requests later than 3 s after it, passes them on, and closes
 * their connections while the server is at work on them.
 */
final class StoppingNode extends Case {
    private static final int CLIENTS = 6;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final double TIMEOUT_SECONDS = 3;
    private static final int WORK_MILLIS = 2_600;

    /** Times after the SIGTERM at which the first and each further client send, in milliseconds. */
    private static final int FIRST_SEND_MILLIS = 3_020;

    private static final int SEND_INTERVAL_MILLIS = 25;

    public static void main(String[] arguments) {
        run(new StoppingNode(), arguments);
    }

    @Override
    boolean isBroken(Deployment deployment) throws Exception {
        Record record = deployment.record;
        deployment.addControl("zone-a");
        deployment.addControl("zone-b");
        deployment.addControl("zone-c");
        Deployment.Machine callers = deployment.addNode("zone-a", "order-app");
        Deployment.Machine targets = deployment.addNode("zone-b", "ledger");
        deployment.startAll();
        new Operator(deployment)
                .put(
                        "0",
                        Operator.configuration(
                                1,
                                List.of(
                                        Operator.route(
                                                "credit", "/credit/", "safe", TIMEOUT_SECONDS,
                                                "ledger")),
                                List.of("order-app", "ledger")),
                        20);
        deployment.awaitReady(20);
        try (AppServer own = new AppServer(deployment, callers, 6, (request, out) ->
                        AppServer.answerWell(request, out));
                AppServer ledger = new AppServer(deployment, targets, 12, (request, out) -> {
                        if (request.target().contains("long")) {
                            Thread.sleep(WORK_MILLIS);
                        }
                        AppServer.answerWell(request, out);
                    })) {
            List<Http.Connection> connections = openConnections(record, callers);
            long start = System.nanoTime();
            if (TROUBLE) {
                callers.signal("TERM");
            }
            AtomicInteger lost = new AtomicInteger();
            CountDownLatch ended = new CountDownLatch(CLIENTS);
            for (int client = 0; client < CLIENTS; client++) {
                int number = client;
                Thread.ofVirtual().start(() -> {
                    long sendAt = FIRST_SEND_MILLIS + (long) number * SEND_INTERVAL_MILLIS;
                    Deployment.sleep(sendAt - (System.nanoTime() - start) / 1_000_000);
                    if (isLost(record, connections.get(number), number, start, ledger)) {
                        lost.incrementAndGet();
                    }
                    ended.countDown();
                });
            }
            ended.await(20, TimeUnit.SECONDS);
            record.line("%d of %d requests lost", lost.get(), CLIENTS);
            return lost.get() > 0;
        }
    }

    /** Opens connections and sends one request on each, so that they are kept. */
    private static List<Http.Connection> openConnections(
            Record record, Deployment.Machine node) throws IOException {
        List<Http.Connection> connections = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            Http.Connection connection = new Http.Connection(node.ip, node.outbound());
            connections.add(connection);
            int status = 0;
            for (int attempt = 0; status != 200; attempt++) {
                if (attempt == 100) {
                    throw new CannotRunException("no answer before the SIGTERM");
                }
                connection.send(
                        Client.head("GET", "/credit/short", "warm-" + client + "-" + attempt,
                                DEADLINE_MILLIS, 0),
                        new byte[0]);
                status = connection.read(DEADLINE_MILLIS).map(Http.Message::status).orElse(0);
                if (status != 200) {
                    Deployment.sleep(100);
                }
            }
            record.line("client %d: kept connection, first request answered", client);
        }
        return connections;
    }

    /**
     * Sends a request and tells whether its connection ended without a complete answer while the
     * server was at work on it, before its deadline and the timeout of its route.
     */
    private static boolean isLost(
            Record record, Http.Connection connection, int number, long start, AppServer server) {
        String attempt = "long-" + number;
        long sent = System.nanoTime();
        double sentSeconds = (sent - start) / 1e9;
        String outcome;
        boolean answered = false;
        try {
            connection.send(
                    Client.head("GET", "/credit/long", attempt, DEADLINE_MILLIS, 0), new byte[0]);
            Optional<Http.Message> answer = connection.read(DEADLINE_MILLIS);
            answered = answer.isPresent();
            outcome = answer.map(Http.Message::startLine).orElse("closed without an answer");
        } catch (IOException ended) {
            outcome = "ended: " + ended;
        }
        double seconds = (System.nanoTime() - sent) / 1e9;
        boolean passedOn = server.runs.stream().anyMatch(run -> run.attempt().equals(attempt));
        record.line(
                "client %d: sent %.3f s after the start of the case, %s after %.3f s; passed on: %b",
                number, sentSeconds, outcome, seconds, passedOn);
        return !answered && passedOn && sentSeconds > 3 && seconds < TIMEOUT_SECONDS;
    }
}
