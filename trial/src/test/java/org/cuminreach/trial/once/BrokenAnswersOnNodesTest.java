package org.cuminreach.trial.once;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.file.Files;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminreach.node.http.SendOutcome;

/** Callers of a mesh whose targets send answers that are broken. */
class BrokenAnswersOnNodesTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int BAD_GATEWAY = 502;
    private static final String BODY = "the whole body 1234";
    private static final HttpHeaders NO_HEADERS = new DefaultHttpHeaders();

    @Example
    void answerWithInvalidStatusNeverReachesCallers() throws Exception {
        assertNeverReachesCallers(answer("HTTP/1.1 000 Trouble", ""));
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

    private static void assertNeverReachesCallers(String... answers) throws Exception {
        try (ScriptedTarget target =
                        ScriptedTarget.start(
                                (head, body, socket) ->
                                        ScriptedTarget.write(
                                                socket, answers[Integer.parseInt(body)]));
                InProcessMesh mesh =
                        InProcessMesh.start(
                                Files.createTempDirectory("broken-answers"),
                                List.of(target.address(), target.address()),
                                TIMEOUT_MILLIS)) {
            for (int number = 0; number < answers.length; number++) {
                SendOutcome sent =
                        mesh.send(0, "POST", "/order", NO_HEADERS, Integer.toString(number)).join();

                assertThat(sent).isInstanceOf(SendOutcome.Completed.class);
                assertWithMessage(answers[number])
                        .that(((SendOutcome.Completed) sent).answer().status())
                        .isEqualTo(BAD_GATEWAY);
            }
            assertThat(target.requestHeads()).hasSize(answers.length);
        }
    }
}
