package org.cuminreach.node.target;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.trial.once.InProcessMesh;
import org.cuminreach.trial.once.ScriptedTarget;

/** Covers answers that end with their connection. */
class AnswersWithoutLengthTest {
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final int PAUSE_MILLIS = 300;

    /** More than the buffers of a connection hold, so that its write cannot end. */
    private static final int LONG_BODY_BYTES = 7_000_000;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nSeal: a.1\r\n\r\n";

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
    void answerThatIsResetWhileItsRequestIsWrittenIsLost() throws Exception {
        assertClosedByTarget(sendLong(AnswersWithoutLengthTest::answerHalf));
    }

    @Example
    void answerThatIsResetWhileItsRequestIsReadSlowlyIsLost() throws Exception {
        assertClosedByTarget(
                sendLong(
                        (head, body, socket) -> {
                            ScriptedTarget.write(socket, HEAD + "first half");
                            for (int read = 0; read < 20; read++) {
                                socket.getInputStream().readNBytes(100_000);
                                Thread.sleep(10);
                            }
                            ScriptedTarget.reset(socket);
                        }));
    }

    @Example
    void answerThatIsResetAfterItsRequestIsLost() throws Exception {
        assertClosedByTarget(sendShort(AnswersWithoutLengthTest::answerHalf));
    }

    @Example
    void answerThatIsOpenWhenItsClientStopsIsLost() throws Exception {
        CompletableFuture<Void> written = new CompletableFuture<>();
        try (ScriptedTarget target =
                ScriptedTarget.start(
                        (head, body, socket) -> {
                            ScriptedTarget.write(socket, HEAD + "first half");
                            Thread.sleep(PAUSE_MILLIS);
                            written.complete(null);
                            readToEnd(socket);
                        })) {
            CompletableFuture<SendOutcome> outcome = send(target, new byte[1]);
            written.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            EventLoops.stop(eventLoops);

            assertClosedByTarget(outcome.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
    }

    @Example
    void answerThatEndsOrderlyWhileItsRequestIsWrittenIsComplete() throws Exception {
        SendOutcome outcome =
                sendLong(
                        (head, body, socket) -> {
                            ScriptedTarget.write(socket, HEAD + "first half, ");
                            Thread.sleep(PAUSE_MILLIS);
                            ScriptedTarget.write(socket, "second half");
                            socket.shutdownOutput();
                            readToEnd(socket);
                        });

        assertThat(body(outcome)).isEqualTo("first half, second half");
    }

    @Example
    void answerThatEndsOrderlyAfterItsRequestIsComplete() throws Exception {
        SendOutcome outcome =
                sendShort(
                        (head, body, socket) -> {
                            ScriptedTarget.write(socket, HEAD + "whole");
                            socket.close();
                        });

        assertThat(body(outcome)).isEqualTo("whole");
    }

    @Example
    void connectionThatItsTargetEndsBeforeTheAnswerIsClosed() throws Exception {
        try (ScriptedTarget target =
                ScriptedTarget.start((head, body, socket) -> socket.shutdownOutput())) {
            assertClosedByTarget(
                    send(target, new byte[1]).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            InProcessMesh.await(() -> target.closedByPeer() == 1);
        }
    }

    @Example
    void idleConnectionThatItsTargetEndsIsClosedAndNotReused() throws Exception {
        try (ScriptedTarget target =
                ScriptedTarget.start(
                        (head, body, socket) -> {
                            ScriptedTarget.writeAnswer(socket, 200, "whole");
                            socket.shutdownOutput();
                        })) {
            for (int call = 1; call <= 2; call++) {
                int connections = call;
                assertThat(
                                body(
                                        send(target, new byte[1])
                                                .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)))
                        .isEqualTo("whole");
                InProcessMesh.await(() -> target.closedByPeer() == connections);
            }
        }
    }

    private static void answerHalf(String head, String body, Socket socket)
            throws IOException, InterruptedException {
        ScriptedTarget.writeAndReset(socket, HEAD + "first half", PAUSE_MILLIS);
    }

    private static void assertClosedByTarget(SendOutcome outcome) {
        assertThat(outcome).isInstanceOf(SendOutcome.Lost.class);
        assertThat(((SendOutcome.Lost) outcome).reason()).isIn(TargetClient.CLOSED_BY_TARGET);
    }

    private static void readToEnd(Socket socket) throws IOException {
        byte[] buffer = new byte[64 * 1024];
        while (socket.getInputStream().read(buffer) >= 0) {
            Thread.onSpinWait();
        }
    }

    private static String body(SendOutcome outcome) {
        assertThat(outcome).isInstanceOf(SendOutcome.Completed.class);
        return new String(((SendOutcome.Completed) outcome).answer().body());
    }

    private SendOutcome sendShort(ScriptedTarget.Script script) throws Exception {
        try (ScriptedTarget target = ScriptedTarget.start(script)) {
            return send(target, new byte[1]).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private SendOutcome sendLong(ScriptedTarget.Script script) throws Exception {
        try (ScriptedTarget target = ScriptedTarget.startWithoutReadingBodies(script)) {
            return send(target, new byte[LONG_BODY_BYTES])
                    .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private CompletableFuture<SendOutcome> send(ScriptedTarget target, byte[] body) {
        HttpCall call = new HttpCall("POST", "/", new DefaultHttpHeaders(), body, "127.0.0.1");
        return client.send(
                target.address(),
                call,
                new DefaultHttpHeaders().set("Host", "parts.test"),
                new ExpectedAnswer("1", headers -> true, headers -> true),
                TIMEOUT_MILLIS);
    }
}
