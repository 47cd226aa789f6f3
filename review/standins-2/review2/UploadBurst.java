package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * CONFIG: when more clients than usual upload at once, requests that a node has read get no answer
 * at all: not at the timeout of their route, and not later.
 */
final class UploadBurst extends Case {
    private static final int USUAL_CLIENTS = 15;

    /** The largest dose of a burst on the small sites is 1.7 times the usual traffic. */
    private static final int BURST_CLIENTS = 25;

    private static final int BODY_BYTES = 7_000_000;
    private static final int INTERVAL_MILLIS = 80;
    private static final int WORK_MILLIS = 5_000;
    private static final int TIMEOUT_SECONDS = 12;
    private static final int DEADLINE_MILLIS = 14_000;
    private static final int TARGETS = 4;
    private static final int SLOTS = 6;

    /** The rule: eight or more, and over a quarter of those that last longer than the timeout. */
    private static final int MIN_UNANSWERED = 8;

    public static void main(String[] arguments) {
        run(new UploadBurst(), arguments);
    }

    @Override
    boolean isBroken(Deployment deployment) throws Exception {
        Record record = deployment.record;
        deployment.addControl("zone-a");
        deployment.addControl("zone-b");
        deployment.addControl("zone-c");
        Deployment.Machine callers = deployment.addNode("zone-a", "order-app");
        List<Deployment.Machine> targets = new ArrayList<>();
        for (int target = 0; target < TARGETS; target++) {
            targets.add(deployment.addNode("zone-b", "yard-ops"));
        }
        deployment.startAll();
        new Operator(deployment)
                .put(
                        "0",
                        Operator.configuration(
                                1,
                                List.of(
                                        Operator.route(
                                                "photo", "/photo/", "unsafe", TIMEOUT_SECONDS,
                                                "yard-ops")),
                                List.of("order-app", "yard-ops")),
                        20);
        deployment.awaitReady(20);
        List<AppServer> servers = new ArrayList<>();
        for (Deployment.Machine target : targets) {
            servers.add(
                    new AppServer(deployment, target, SLOTS, (request, out) -> {
                        Thread.sleep(WORK_MILLIS);
                        AppServer.answerWell(request, out);
                    }));
        }
        // All servers are known and warm before the clients come.
        Deployment.sleep(4_000);
        int clients = TROUBLE ? BURST_CLIENTS : USUAL_CLIENTS;
        AtomicInteger overdue = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        CountDownLatch ended = new CountDownLatch(clients);
        byte[] body = new byte[BODY_BYTES];
        for (int client = 0; client < clients; client++) {
            int number = client;
            Thread.ofPlatform().start(() -> {
                upload(record, callers, number, body, overdue, unanswered);
                ended.countDown();
            });
            Deployment.sleep(INTERVAL_MILLIS);
        }
        ended.await(60, TimeUnit.SECONDS);
        record.line(
                "%d uploads; %d not answered within the timeout, %d of them not 0.5 s later",
                clients, overdue.get(), unanswered.get());
        servers.forEach(AppServer::close);
        record.line(
                "lines with OutOfMemoryError in the log of %s: %d",
                callers.name,
                callers.log().lines().filter(line -> line.contains("OutOfMemoryError")).count());
        return unanswered.get() >= MIN_UNANSWERED && 4 * unanswered.get() > overdue.get();
    }

    private static void upload(
            Record record,
            Deployment.Machine node,
            int number,
            byte[] body,
            AtomicInteger overdue,
            AtomicInteger unanswered) {
        String outcome;
        long sent = System.nanoTime();
        long read = sent;
        boolean open = false;
        try (Http.Connection connection = new Http.Connection(node.ip, node.outbound())) {
            connection.send(
                    Client.head("POST", "/photo/x", "up-" + number, DEADLINE_MILLIS, body.length),
                    body);
            read = System.nanoTime();
            Optional<Http.Message> answer = connection.read(DEADLINE_MILLIS + 2_000);
            outcome = answer.map(Http.Message::startLine).orElse("closed without an answer");
        } catch (java.net.SocketTimeoutException silent) {
            open = true;
            outcome = "no answer, connection still open";
        } catch (IOException ended) {
            outcome = "ended: " + ended;
        }
        double seconds = (System.nanoTime() - sent) / 1e9;
        record.line(
                "client %d: %s; sent for %.2f s, ended after %.2f s",
                number, outcome, (read - sent) / 1e9, seconds);
        if (seconds > TIMEOUT_SECONDS) {
            overdue.incrementAndGet();
            if (open && seconds > TIMEOUT_SECONDS + 0.5) {
                unanswered.incrementAndGet();
            }
        }
    }
}
