package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Optional;

/**
 * MIXED: a server answers a long request early, with an answer that ends with its connection, and
 * resets the connection midway. The client gets the first half as a complete success.
 */
final class ResetAnswer extends Case {
    private static final int REQUESTS = 5;
    private static final int USUAL_READS = 30;
    private static final int BODY_BYTES = 7_000_000;
    private static final int TIMEOUT_SECONDS = 8;
    private static final int DEADLINE_MILLIS = 7_000;

    /** Time for which the server works between the two halves of its answer. */
    private static final int PAUSE_MILLIS = 500;

    private static final String FIRST_HALF = "first half of the answer, ";
    private static final String SECOND_HALF = "second half of the answer\n";

    public static void main(String[] arguments) {
        run(new ResetAnswer(), arguments);
    }

    /** Answers before it has read the body, without a length. */
    private static final class EarlyServer implements AppServer.Behaviour {
        private final Record record;

        private EarlyServer(Record record) {
            this.record = record;
        }

        @Override
        public void answer(Http.Message request, OutputStream out)
                throws IOException {
            AppServer.answerWell(request, out);
        }

        @Override
        public boolean answeredEarly(String head, Socket socket)
                throws IOException, InterruptedException {
            if (!head.startsWith("POST /photo/")) {
                return false;
            }
            String attempt =
                    head.replaceAll("(?s).*(?i:Cuminreach-Attempt-Id): *([^\r]*).*", "$1");
            OutputStream out = socket.getOutputStream();
            out.write(
                    Http.bytes(
                            "HTTP/1.1 200 OK\r\nCuminreach-Attempt-Id: "
                                    + attempt
                                    + "\r\nCuminreach-Response-Seal: seal-"
                                    + attempt
                                    + "\r\nConnection: close\r\n\r\n"
                                    + FIRST_HALF));
            out.flush();
            record.line("server runs %s and has sent the first half of its answer", attempt);
            Thread.sleep(PAUSE_MILLIS);
            if (TROUBLE) {
                socket.setSoLinger(true, 0);
                socket.close();
                record.line("server has reset the connection of %s", attempt);
                return true;
            }
            out.write(Http.bytes(SECOND_HALF));
            out.flush();
            socket.shutdownOutput();
            record.line("server has sent all of its answer to %s", attempt);
            InputStream in = socket.getInputStream();
            byte[] rest = new byte[64 * 1024];
            while (in.read(rest) >= 0) {
                // The rest of the request is read, so that the close is no reset.
            }
            return true;
        }
    }

    @Override
    boolean isBroken(Deployment deployment) throws Exception {
        Record record = deployment.record;
        deployment.addControl("zone-a");
        deployment.addControl("zone-b");
        deployment.addControl("zone-c");
        Deployment.Machine callers = deployment.addNode("zone-a", "order-app");
        Deployment.Machine targets = deployment.addNode("zone-b", "yard-ops");
        deployment.startAll();
        new Operator(deployment)
                .put(
                        "0",
                        Operator.configuration(
                                1,
                                List.of(
                                        Operator.route(
                                                "photo", "/photo/", "unsafe", TIMEOUT_SECONDS,
                                                "yard-ops"),
                                        Operator.route("read", "/read/", "safe", 2, "yard-ops")),
                                List.of("order-app", "yard-ops")),
                        20);
        deployment.awaitReady(20);
        try (AppServer own =
                        new AppServer(
                                deployment,
                                callers,
                                6,
                                (request, out) -> AppServer.answerWell(request, out));
                AppServer yard =
                        new AppServer(deployment, targets, 6, new EarlyServer(record))) {
            Client.awaitService(callers, "/read/warm");
            int broken = 0;
            byte[] body = new byte[BODY_BYTES];
            for (int number = 0; number < REQUESTS; number++) {
                Client.readUsually(
                        callers, "/read/one", "read-" + number, USUAL_READS, DEADLINE_MILLIS);
                broken += isHalfSuccess(record, callers, "up-" + number, body) ? 1 : 0;
            }
            record.line("%d of %d answers are a success with half a body", broken, REQUESTS);
            return broken > 0;
        }
    }

    private static boolean isHalfSuccess(
            Record record, Deployment.Machine node, String attempt, byte[] body) {
        try (Http.Connection connection = new Http.Connection(node.ip, node.outbound())) {
            connection.send(
                    Client.head("POST", "/photo/x", attempt, DEADLINE_MILLIS, body.length), body);
            Optional<Http.Message> answer = connection.read(DEADLINE_MILLIS + 1_000);
            record.line(
                    "client: to %s comes %s, Content-Length \"%s\", body \"%s\"",
                    attempt,
                    answer.map(Http.Message::startLine).orElse("nothing"),
                    answer.map(message -> message.header("Content-Length")).orElse(""),
                    answer.map(message -> message.text().strip()).orElse(""));
            return answer.filter(message -> message.status() == 200)
                    .filter(message -> !message.text().equals(FIRST_HALF + SECOND_HALF))
                    .isPresent();
        } catch (IOException ended) {
            record.line("client: %s ended: %s", attempt, ended);
            return false;
        }
    }
}
