package review2;

import java.io.IOException;

/** Requests of the platform's clients. */
final class Client {
    private static final int ATTEMPTS = 100;

    private Client() {}

    static String head(String method, String target, String attempt, int deadline, int length) {
        return method
                + " "
                + target
                + " HTTP/1.1\r\nHost: shop.example\r\nCuminreach-Attempt-Id: "
                + attempt
                + "\r\nCuminreach-Deadline-Ms: "
                + deadline
                + "\r\n"
                + (length > 0 ? "Content-Length: " + length + "\r\n" : "")
                + "\r\n";
    }

    /** Sends one request on a connection of its own and returns the status of its answer. */
    static int status(Deployment.Machine node, String target, String attempt) throws IOException {
        return Http.exchange(
                        node.ip,
                        node.outbound(),
                        head("GET", target, attempt, 1_000, 0)
                                .replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"),
                        new byte[0],
                        2_000)
                .status();
    }

    /** Sends usual reads on one connection, beside which a few answers are spoiled. */
    static void readUsually(
            Deployment.Machine node, String target, String prefix, int reads, int deadline)
            throws IOException {
        try (Http.Connection connection = new Http.Connection(node.ip, node.outbound())) {
            for (int read = 0; read < reads; read++) {
                connection.send(
                        head("GET", target, prefix + "-" + read, deadline, 0), new byte[0]);
                connection.read(deadline + 1_000);
            }
        }
    }

    /** Sends requests until one is served, so that the servers of a route are known. */
    static void awaitService(Deployment.Machine node, String target) throws IOException {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            if (status(node, target, "warm-" + attempt) == 200) {
                return;
            }
            Deployment.sleep(100);
        }
        throw new CannotRunException("no request is served before the case");
    }
}
