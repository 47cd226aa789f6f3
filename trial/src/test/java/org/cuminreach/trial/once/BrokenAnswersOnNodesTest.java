package org.cuminreach.trial.once;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminreach.node.http.SendOutcome;

/** Callers of a mesh whose targets send answers that are broken. */
class BrokenAnswersOnNodesTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int RESET_DELAY_MILLIS = 500;
    private static final int LONG_BODY_BYTES = 7_000_000;
    private static final int BAD_GATEWAY = 502;
    private static final String BODY = "the whole body 1234";
    private static final HttpHeaders NO_HEADERS = new DefaultHttpHeaders();

    @Example
    void answerWithInvalidStatusNeverReachesCallers() throws Exception {
        assertNeverReachCallers(List.of(answer("HTTP/1.1 000 Trouble", "")));
    }

    @Example
    void answerWithWhitespaceOrControlCharacterInFieldNameNeverReachesCallers() throws Exception {
        List<String> answers = new ArrayList<>();
        for (String field :
                List.of("X Name: v", "X-Name : v", "X-Name\t: v", " X-Name: v", "X\u0001Name: v")) {
            answers.add(answer("HTTP/1.1 200 OK", field + "\r\n"));
        }
        answers.add("HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n" + BODY);

        assertNeverReachCallers(answers);
    }

    @Example
    void answerThatIsResetWhileItsRequestIsWrittenNeverReachesCallers() throws Exception {
        try (ScriptedTarget target =
                ScriptedTarget.startWithoutReadingBodies(
                        (head, body, socket) ->
                                ScriptedTarget.writeAndReset(
                                        socket,
                                        "HTTP/1.1 200 OK\r\n\r\nfirst half",
                                        RESET_DELAY_MILLIS))) {
            assertNeverReachesCallers(target, List.of("x".repeat(LONG_BODY_BYTES)));
        }
    }

    private static String answer(String statusLine, String fields) {
        return statusLine
                + "\r\n"
                + fields
                + "Content-Length: "
                + BODY.length()
                + "\r\n\r\n"
                + BODY;
    }

    /** Sends each answer once, as the answer to a request that has it as its body. */
    private static void assertNeverReachCallers(List<String> answers) throws Exception {
        try (ScriptedTarget target =
                ScriptedTarget.start((head, body, socket) -> ScriptedTarget.write(socket, body))) {
            assertNeverReachesCallers(target, answers);
        }
    }

    private static void assertNeverReachesCallers(ScriptedTarget target, List<String> requests)
            throws Exception {
        try (InProcessMesh mesh =
                InProcessMesh.start(
                        Files.createTempDirectory("broken-answers"),
                        List.of(target.address(), target.address()),
                        TIMEOUT_MILLIS)) {
            for (String request : requests) {
                SendOutcome sent = mesh.send(0, "POST", "/order", NO_HEADERS, request).join();

                assertThat(sent).isInstanceOf(SendOutcome.Completed.class);
                assertThat(((SendOutcome.Completed) sent).answer().status()).isEqualTo(BAD_GATEWAY);
            }
            assertThat(target.requestHeads()).hasSize(requests.size());
        }
    }
}
