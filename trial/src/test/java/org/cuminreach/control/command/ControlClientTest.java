package org.cuminreach.control.command;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.Map;
import net.jqwik.api.Example;
import org.cuminreach.trial.once.ScriptedTarget;

class ControlClientTest {
    private static final int LONG_ORDER_BYTES = 7_000_000;
    private static final int RESET_DELAY_MILLIS = 500;
    private static final String FIRST_HALF = "HTTP/1.1 200 OK\r\n\r\nfirst half";
    private static final String PATH = "/documents";
    private static final String INVALID_STATUS =
            "HTTP/1.1 000 X\r\nContent-Length: 7\r\n\r\ntrouble";

    /** A status below 500 ends the search for a control that has executed an order. */
    @Example
    void orderAnsweredWithInvalidStatusIsSentToNextControl() throws IOException {
        assertIsSentToNextControl(
                (head, body, socket) -> ScriptedTarget.write(socket, INVALID_STATUS));
    }

    @Example
    void orderAnsweredWithWhitespaceInFieldNameIsSentToNextControl() throws IOException {
        assertIsSentToNextControl(
                (head, body, socket) ->
                        ScriptedTarget.write(
                                socket, "HTTP/1.1 200 X\r\nContent-Length : 5\r\n\r\ntrouble"));
    }

    @Example
    void orderWhoseAnswerIsResetWhileItIsWrittenIsSentToNextControl() throws IOException {
        String longOrder = "x".repeat(LONG_ORDER_BYTES);
        try (ScriptedTarget first =
                        ScriptedTarget.startWithoutReadingBodies(
                                (head, body, socket) ->
                                        ScriptedTarget.writeAndReset(
                                                socket, FIRST_HALF, RESET_DELAY_MILLIS));
                ScriptedTarget second = acceptingControl();
                ControlClient client =
                        ControlClient.of(first.address() + "," + second.address()).orElseThrow()) {
            assertThat(client.post(PATH, Map.of(), longOrder).orElseThrow().getResponseBody())
                    .isEqualTo("accepted");
            assertThat(first.requestHeads()).hasSize(1);
        }
    }

    @Example
    void answerWithoutLengthThatEndsOrderlyIsReturned() throws IOException {
        try (ScriptedTarget control =
                        ScriptedTarget.start(
                                (head, body, socket) -> {
                                    ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\n\r\nwhole");
                                    socket.close();
                                });
                ControlClient client =
                        ControlClient.of(control.address().toString()).orElseThrow()) {
            assertThat(client.get(PATH).orElseThrow().getResponseBody()).isEqualTo("whole");
        }
    }

    private static ScriptedTarget acceptingControl() throws IOException {
        return ScriptedTarget.start(
                (head, body, socket) -> ScriptedTarget.writeAnswer(socket, 200, "accepted"));
    }

    private static void assertIsSentToNextControl(ScriptedTarget.Script faulty) throws IOException {
        try (ScriptedTarget first = ScriptedTarget.start(faulty);
                ScriptedTarget second = acceptingControl();
                ControlClient client =
                        ControlClient.of(first.address() + "," + second.address()).orElseThrow()) {
            assertThat(client.get(PATH).orElseThrow().getResponseBody()).isEqualTo("accepted");
            assertThat(client.post(PATH, Map.of(), "{}").orElseThrow().getResponseBody())
                    .isEqualTo("accepted");
            assertThat(first.requestHeads()).hasSize(2);
            assertThat(second.requestHeads()).hasSize(2);
        }
    }
}
