package org.cuminreach.node.target;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.trial.once.ScriptedTarget;

/** Covers targets whose answers have a head that HTTP does not allow. */
class MalformedAnswersTest {
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final String BODY = "the whole body 1234";

    private EventLoopGroup eventLoops;
    private TargetClient client;

    @BeforeTry
    void start() {
        eventLoops = EventLoops.start(1);
        client = TargetClient.create(eventLoops);
    }

    @AfterTry
    void stop() {
        client.closeIdle();
        EventLoops.stop(eventLoops);
    }

    @Example
    void answerWithInvalidStatusIsLost() throws Exception {
        for (String status :
                List.of("000", "001", "099", "600", "999", "1000", "0200", "20", "+20", "-20")) {
            assertLost(answer("HTTP/1.1 " + status + " Trouble", ""));
            assertLost(answer("HTTP/1.1 " + status, ""));
        }
    }

    @Example
    void answerAfterInformationalOneWithInvalidStatusIsLost() throws Exception {
        assertLost("HTTP/1.1 000 Continue\r\n\r\n" + answer("HTTP/1.1 200 OK", ""));
    }

    @Example
    void answerAfterMismatchedOneWithInvalidStatusIsLost() throws Exception {
        String mismatched = "HTTP/1.1 000 Late\r\nId: other\r\nContent-Length: 0\r\n\r\n";

        assertLost(mismatched + answer("HTTP/1.1 200 OK", "Id: 1\r\n"));
    }

    @Example
    void statusWithoutNameIsReturnedUnchanged() throws Exception {
        for (int status : new int[] {200, 299, 418, 460, 500, 520, 599}) {
            for (String phrase : List.of("", " ", " Some phrase")) {
                SendOutcome outcome = send(answer("HTTP/1.1 " + status + phrase, ""));

                assertThat(outcome).isInstanceOf(SendOutcome.Completed.class);
                var answer = ((SendOutcome.Completed) outcome).answer();
                assertThat(answer.status()).isEqualTo(status);
                assertThat(new String(answer.body())).isEqualTo(BODY);
            }
        }
    }

    /** Returns an answer with a complete body; the fields end with a line break. */
    private static String answer(String statusLine, String fields) {
        return statusLine
                + "\r\n"
                + fields
                + "Seal: a.1\r\nContent-Length: "
                + BODY.length()
                + "\r\n\r\n"
                + BODY;
    }

    private void assertLost(String answer) throws Exception {
        assertWithMessage(answer)
                .that(send(answer))
                .isEqualTo(new SendOutcome.Lost("malformed_answer"));
    }

    private SendOutcome send(String answer) throws Exception {
        try (ScriptedTarget target =
                ScriptedTarget.start(
                        (head, body, socket) -> ScriptedTarget.write(socket, answer))) {
            HttpCall call =
                    new HttpCall(
                            "POST",
                            "/order",
                            new DefaultHttpHeaders(),
                            "one".getBytes(),
                            "127.0.0.1");
            return client.send(
                            target.address(),
                            call,
                            new DefaultHttpHeaders().set("Host", "parts.test"),
                            new ExpectedAnswer(
                                    "1",
                                    headers -> headers.get("Id", "1").equals("1"),
                                    headers -> headers.contains("Id")),
                            TIMEOUT_MILLIS)
                    .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
