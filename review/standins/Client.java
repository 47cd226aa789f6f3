package review;

import java.io.IOException;
import java.security.SecureRandom;

/** A client that sends one request at a time, each on a new connection to the node beside it. */
final class Client {
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final int DEADLINE_MILLIS = 1_000;

    private Client() {}

    static String newId() {
        return "%016x".formatted(RANDOM.nextLong());
    }

    /** Returns the answer; throws IOException when none comes within the deadline. */
    static Http.Message get(Deployment.Machine node, String id, String path) throws IOException {
        return Http.exchange(
                node.outbound(),
                "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\nCuminreach-Attempt-Id: " + id
                        + "\r\nCuminreach-Deadline-Ms: " + DEADLINE_MILLIS,
                "",
                DEADLINE_MILLIS);
    }

    static boolean isReady(Deployment.Machine node) {
        try {
            return Http.exchange(node.ready(), "GET /ready HTTP/1.1\r\nHost: x", "", 500).status() == 200;
        } catch (IOException notListening) {
            return false;
        }
    }
}
