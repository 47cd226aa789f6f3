package review2;

import java.util.List;
import java.util.Optional;

/**
 * MIXED: a client sends a safe request with a long body behind another request on its connection.
 * The node answers the second one first, so that each answer is taken for that to the other one.
 */
final class PipelinedUpload extends Case {
    private static final int DEADLINE_MILLIS = 5_000;
    private static final int WORK_MILLIS = 800;

    /** Within max-body-bytes of the configuration, which is 64 MiB. */
    private static final int LONG_BODY_BYTES = 9 * 1024 * 1024;

    public static void main(String[] arguments) {
        run(new PipelinedUpload(), arguments);
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
                                List.of(Operator.route("read", "/read/", "safe", 5, "ledger")),
                                List.of("order-app", "ledger")),
                        20);
        deployment.awaitReady(20);
        try (AppServer own = new AppServer(deployment, callers, 6, (request, out) ->
                        AppServer.answerWell(request, out));
                AppServer ledger = new AppServer(deployment, targets, 6, (request, out) -> {
                        Thread.sleep(request.target().contains("warm") ? 1 : WORK_MILLIS);
                        AppServer.answerWell(request, out);
                    })) {
            Client.awaitService(callers, "/read/warm");
            byte[] body = new byte[LONG_BODY_BYTES];
            try (Http.Connection connection =
                    new Http.Connection(callers.ip, callers.outbound())) {
                connection.send(
                        Client.head("GET", "/read/1", "first", DEADLINE_MILLIS, 0), new byte[0]);
                Optional<Http.Message> first = Optional.empty();
                if (!TROUBLE) {
                    first = connection.read(DEADLINE_MILLIS);
                }
                connection.send(
                        Client.head("POST", "/read/2", "second", DEADLINE_MILLIS, body.length),
                        body);
                if (TROUBLE) {
                    first = connection.read(DEADLINE_MILLIS);
                }
                Optional<Http.Message> second = connection.read(DEADLINE_MILLIS);
                boolean firstForeign = isForeign(record, "first", first);
                boolean secondForeign = isForeign(record, "second", second);
                return firstForeign || secondForeign;
            }
        }
    }

    /** Tells whether an answer is the success of another request. */
    private static boolean isForeign(
            Record record, String attempt, Optional<Http.Message> answer) {
        record.line(
                "client: to %s comes %s, Cuminreach-Attempt-Id \"%s\", body \"%s\"",
                attempt,
                answer.map(Http.Message::startLine).orElse("nothing"),
                answer.map(message -> message.header("Cuminreach-Attempt-Id")).orElse(""),
                answer.map(message -> message.text().strip()).orElse(""));
        return answer.filter(message -> message.status() == 200)
                .filter(message -> !message.text().equals("body of " + attempt + "\n"))
                .isPresent();
    }
}
