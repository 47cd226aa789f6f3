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
    private static final String OK = "HTTP/1.1 200 OK";
    private static final String CONTROL_CHARACTERS =
            "\u0000\u0001\u0007\b\u000b\f\r\u001b\u001f\u007f";

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

    @Example
    void answerWithWhitespaceInFieldNameIsLost() throws Exception {
        for (String whitespace : List.of(" ", "\t", "  ", "\t ")) {
            assertFieldIsRejected("X" + whitespace + "Name: v");
            assertFieldIsRejected("X-Name" + whitespace + ": v");
            assertFieldIsRejected("X-Name" + whitespace);
        }
    }

    /** By RFC 9112 a line with whitespace at its start is part of the value before it. */
    @Example
    void answerWithWhitespaceBeforeFieldNameIsLost() throws Exception {
        for (String whitespace : List.of(" ", "\t", "  ", "\t ")) {
            assertFieldIsRejected(whitespace + "X-Name: v");
            assertFieldIsRejected("Name: v\r\n" + whitespace + "X-Name: v");
        }
        assertLost(OK + "\r\nContent-Length: 5\r\nSeal: a.1\r\n X-Name: v\r\n\r\nwhole");
    }

    @Example
    void answerWithControlCharacterInFieldNameIsLost() throws Exception {
        for (char control : CONTROL_CHARACTERS.toCharArray()) {
            assertFieldIsRejected("X" + control + "Name: v");
            assertFieldIsRejected("X-Name" + control + ": v");
            assertFieldIsRejected(control + "X-Name: v");
        }
    }

    @Example
    void answerWithoutFieldNameIsLost() throws Exception {
        assertFieldIsRejected(": v");
        assertFieldIsRejected("X-Name");
    }

    @Example
    void answerWhoseLengthFieldHasWhitespaceInItsNameIsLost() throws Exception {
        for (String name : List.of("Content-Length ", "Content-Length\t", "Content Length")) {
            assertLost(OK + "\r\nSeal: a.1\r\n" + name + ": 5\r\n\r\n" + BODY);
        }
        String chunk = "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
        assertLost(OK + "\r\nTransfer-Encoding : chunked" + chunk);
        assertLost(OK + "\r\nTransfer-Encoding: chunked\r\nX Name: v" + chunk);
    }

    @Example
    void answerWithWhitespaceInTrailerNameIsLost() throws Exception {
        for (String trailer : List.of("X Name: v", "X-Name : v", "X-Name\t: v")) {
            assertLost(
                    OK
                            + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
                            + trailer
                            + "\r\n\r\n");
        }
    }

    @Example
    void answerAfterDroppedOneWithWhitespaceInFieldNameIsLost() throws Exception {
        for (String field : List.of("X Name: v", "X-Name : v", "Id : 1", " X-Name: v")) {
            String informational = "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n";
            assertLost(informational + answer(OK, ""));
            String mismatched = OK + "\r\nId: other\r\n" + field + "\r\nContent-Length: 0\r\n\r\n";
            assertLost(mismatched + answer(OK, "Id: 1\r\n"));
        }
    }

    @Example
    void whitespaceAroundFieldValueAndUnusualTokensAreAccepted() throws Exception {
        for (String field :
                List.of("X-Name:v", "X-Name: \t v \t", "X-Name:", "!#$%&'*+-.^_`|~09aZ: v")) {
            assertThat(send(answer(OK, field + "\r\n"))).isInstanceOf(SendOutcome.Completed.class);
        }
    }

    private void assertFieldIsRejected(String field) throws Exception {
        assertLost(answer(OK, field + "\r\n"));
        assertLost(OK + "\r\nContent-Length: 0\r\n" + field + "\r\n\r\n");
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
