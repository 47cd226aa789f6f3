package org.cuminreach.node.target;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.trial.once.ScriptedTarget;

/** Covers targets that send additional bytes after a complete answer. */
class BytesBehindAnswersTest {
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final int REFUSED = 503;
    private static final int RAN = 200;

    /** Time in which bytes that were written are received. */
    private static final long TRANSFER_MILLIS = 50;

    /** Wherever this is cut, an answer behind it must not be read as its continuation. */
    private static final String REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\nNot-Run: full\r\nServer: yard\r\n"
                    + "Content-Length: 0\r\n\r\n";

    private static final String ANSWER =
            "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\nran";
    private static final List<String> OTHER_BYTES =
            List.of("\r\n", "\n", " ", "x", "X-Name: v", "X-Name: v\r\n", "HTTP/1.1 100 Continue");

    private final AtomicInteger requests = new AtomicInteger();
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

    // Guards against TWICE: the next answer counted as a refusal, and its call ran again.
    @Example
    void callBehindRefusalWithAdditionalBytesGetsItsOwnAnswer() throws Exception {
        for (int length = 1; length <= REFUSAL.length(); length++) {
            String additional = REFUSAL.substring(0, length);
            assertOwnAnswer(additional, send(additional, "", 0));
        }
        for (String additional : OTHER_BYTES) {
            assertOwnAnswer(additional, send(additional, "", 0));
        }
    }

    @Example
    void callAfterBytesThatArriveOnIdleConnectionGetsItsOwnAnswer() throws Exception {
        for (int length = 1; length <= REFUSAL.length(); length += 7) {
            String additional = REFUSAL.substring(0, length);
            assertOwnAnswer(additional, send("", additional, TRANSFER_MILLIS));
        }
    }

    @Example
    void answerBehindBytesThatArriveAfterNextCallWasSentIsNeverRefusal() throws Exception {
        for (int length = 1; length < REFUSAL.length(); length++) {
            String additional = REFUSAL.substring(0, length);
            requests.set(0);
            try (ScriptedTarget target =
                    ScriptedTarget.start(
                            (head, body, socket) -> {
                                boolean first = requests.incrementAndGet() == 1;
                                ScriptedTarget.write(
                                        socket, first ? answer(head) : additional + answer(head));
                            })) {
                call(target, 1);
                SendOutcome outcome = call(target, 2);

                if (outcome instanceof SendOutcome.Completed completed) {
                    assertWithMessage(additional).that(completed.answer().status()).isEqualTo(RAN);
                } else {
                    assertWithMessage(additional)
                            .that(outcome)
                            .isInstanceOf(SendOutcome.Lost.class);
                }
            }
        }
    }

    @Example
    void connectionIsKeptAfterAnswersWithoutAdditionalBytes() throws Exception {
        try (ScriptedTarget target =
                ScriptedTarget.start(
                        (head, body, socket) -> ScriptedTarget.write(socket, answer(head)))) {
            for (int number = 1; number <= 10; number++) {
                assertThat(call(target, number)).isInstanceOf(SendOutcome.Completed.class);
            }

            assertThat(target.acceptedConnections()).isEqualTo(1);
        }
    }

    /** Sends a call that is refused and another one, and returns the outcome of the second. */
    private SendOutcome send(String behindRefusal, String whileIdle, long idleMillis)
            throws Exception {
        requests.set(0);
        try (ScriptedTarget target =
                ScriptedTarget.start(
                        (head, body, socket) ->
                                answerCall(head, socket, behindRefusal, whileIdle))) {
            SendOutcome refused = call(target, 1);
            assertThat(((SendOutcome.Completed) refused).answer().status()).isEqualTo(REFUSED);
            Thread.sleep(2 * idleMillis);
            return call(target, 2);
        }
    }

    private void answerCall(String head, Socket socket, String behindRefusal, String whileIdle)
            throws IOException, InterruptedException {
        if (requests.incrementAndGet() > 1) {
            ScriptedTarget.write(socket, answer(head));
            return;
        }
        ScriptedTarget.write(
                socket,
                "HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 4\r\n\r\nfull" + behindRefusal);
        if (!whileIdle.isEmpty()) {
            Thread.sleep(TRANSFER_MILLIS);
            ScriptedTarget.write(socket, whileIdle);
        }
    }

    private static String answer(String head) {
        String id = head.lines().filter(line -> line.startsWith("id: ")).findFirst().orElseThrow();
        return ANSWER.formatted(id.substring("id: ".length()));
    }

    private static void assertOwnAnswer(String additional, SendOutcome outcome) {
        assertWithMessage(additional).that(outcome).isInstanceOf(SendOutcome.Completed.class);
        assertWithMessage(additional)
                .that(((SendOutcome.Completed) outcome).answer().status())
                .isEqualTo(RAN);
    }

    private SendOutcome call(ScriptedTarget target, int number) throws Exception {
        String id = Integer.toString(number);
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Host", "target").set("id", id);
        HttpCall call = new HttpCall("GET", "/" + id, headers, new byte[0], "");
        ExpectedAnswer expected =
                new ExpectedAnswer(
                        id,
                        answer -> answer.get("Id", id).equals(id),
                        answer -> answer.contains("Id"));
        return client.send(target.address(), call, headers, expected, TIMEOUT_MILLIS)
                .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
