package org.cuminreach.node.target;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cuminreach.decisions.admission.LinkRate;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.node.http.HttpSender;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.node.settings.TargetDescription;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpServer;
import org.cuminreach.runtime.http.LinkUse;
import org.cuminreach.settings.Address;

/** Long bodies of calls to a node whose VM has a narrow link. */
class NarrowLinkTest {
    private static final LinkRate LINK = LinkRate.ofKilobitsPerSecond(2_310);
    private static final int BODY_BYTES = 60_000;
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final long SHORT_STALL_MILLIS = 50;
    private static final long NEVER_STALLED_MILLIS = 600_000;
    private static final int SILENCE_MILLIS = 150;

    /** Refusals after which a call waits at the node that it is sent to. */
    private static final int LAST_NODE = 2;

    private static final String TELL_REMAINING = "/remaining";
    private static final String LONG_ANSWER = "/long";
    private static final String CONTINUE = "HTTP/1.1 100 Continue";

    private final EventLoopGroup eventLoops = EventLoops.start(1);
    private final List<Socket> sockets = new ArrayList<>();
    private Address inbound;
    private HttpServer node;
    private HttpServer target;

    @BeforeTry
    void start() throws IOException {
        start(NEVER_STALLED_MILLIS);
    }

    private void start(long stallMillis) throws IOException {
        Address targetAddress = freeAddress();
        target = HttpServer.listen(targetAddress, eventLoops, NarrowLinkTest::countBytes).join();
        TargetDescription description =
                new TargetDescription("node", "photos", "1", targetAddress, 4, TargetPhase.READY);
        TargetAdmissionHandler admission =
                TargetAdmissionHandler.create(
                        "node",
                        () -> Optional.of(description),
                        TargetClient.create(eventLoops),
                        TargetProtocol.passThrough(),
                        TargetMetrics.register(new PrometheusRegistry()),
                        ColdSettings.none());
        inbound = freeAddress();
        node =
                HttpServer.listen(
                                inbound,
                                eventLoops,
                                admission,
                                InboundBodies.create(admission, LINK, stallMillis),
                                LinkUse.of(LINK))
                        .join();
    }

    @AfterTry
    void stop() throws Exception {
        for (Socket socket : sockets) {
            socket.close();
        }
        node.close();
        target.close();
        EventLoops.stop(eventLoops);
    }

    private static CompletableFuture<HttpAnswer> countBytes(HttpCall call) {
        String answer =
                call.path().equals(LONG_ANSWER)
                        ? "y".repeat(BODY_BYTES)
                        : call.path().equals(TELL_REMAINING)
                                ? call.header(MeshHeaders.REMAINING_MILLIS, "none")
                                : Integer.toString(call.body().length);
        return CompletableFuture.completedFuture(HttpAnswer.of(200, "text/plain", answer));
    }

    /** Guards against short answers that wait on the link behind long ones (issue 53). */
    @Example
    void longAnswerLeavesRoomOnLink() throws Exception {
        HttpSender sender = HttpSender.create(eventLoops);
        HttpCall call =
                new HttpCall(
                        "GET", LONG_ANSWER, new DefaultHttpHeaders(), new byte[0], "127.0.0.1");
        for (int attempt = 0; attempt < 2; attempt++) {
            long startNanos = System.nanoTime();
            SendOutcome outcome =
                    sender.send(inbound, call, call.headers(), TIMEOUT_MILLIS)
                            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);

            assertThat(((SendOutcome.Completed) outcome).answer().body()).hasLength(BODY_BYTES);
            assertThat((double) elapsedMillis).isAtLeast(BODY_BYTES / LINK.bytesPerMilli());
        }
        sender.close();
    }

    /** Guards against short calls that wait on the link behind several bodies (issue 53). */
    @Example
    void longBodiesAreReceivedOneAfterTheOther() throws Exception {
        Upload first = new Upload(TIMEOUT_MILLIS);
        assertThat(first.reader.readLine()).isEqualTo(CONTINUE);
        Upload second = new Upload(TIMEOUT_MILLIS);
        second.assertSilent();

        first.sendBody();
        assertThat(second.reader.readLine()).isEqualTo(CONTINUE);
        second.sendBody();
        assertThat(second.finalLine()).contains(" 200 ");
    }

    /** Guards against bodies that cross the link only to be refused (issue 53). */
    @Example
    void callWhoseBodyWouldComeTooLateIsRefusedBeforeItIsSent() throws Exception {
        Upload first = new Upload(TIMEOUT_MILLIS);
        assertThat(first.reader.readLine()).isEqualTo(CONTINUE);

        new Upload(TIMEOUT_MILLIS).assertSilent();
        new Upload(TIMEOUT_MILLIS).assertSilent();

        Upload last = new Upload(400);

        assertThat(last.reader.readLine()).contains(" 503 ");
        assertThat(last.headers()).contains(MeshHeaders.OUTCOME + ": " + MeshHeaders.NOT_RUN);
    }

    /** Guards against targets that are given more time than the caller has left (issue 53). */
    @Example
    void timeThatBodyWaitedIsDeductedFromItsCall() throws Exception {
        Upload first = new Upload(TIMEOUT_MILLIS);
        assertThat(first.reader.readLine()).isEqualTo(CONTINUE);
        Upload second = new Upload(TELL_REMAINING, TIMEOUT_MILLIS, LAST_NODE);
        second.assertSilent();
        first.sendBody();
        assertThat(second.reader.readLine()).isEqualTo(CONTINUE);
        second.sendBody();

        assertThat(second.finalLine()).contains(" 200 ");
        second.headers();
        long remainingMillis = Long.parseLong(second.rest());
        assertThat(remainingMillis).isAtMost((long) TIMEOUT_MILLIS - SILENCE_MILLIS);
    }

    /** Guards against bodies that wait for one link while others are free (issue 53). */
    @Example
    void bodyIsRefusedAtItsFirstNodeWhileTheLinkIsTaken() throws Exception {
        Upload first = new Upload("/photo", TIMEOUT_MILLIS, 0);
        assertThat(first.reader.readLine()).isEqualTo(CONTINUE);

        Upload second = new Upload("/photo", TIMEOUT_MILLIS, 0);

        assertThat(second.reader.readLine()).contains(" 503 ");
    }

    /** Guards against a sender that keeps the turn of others without sending. */
    @Example
    void stalledBodyPassesItsTurnOn() throws Exception {
        node.close();
        target.close();
        start(SHORT_STALL_MILLIS);
        Upload first = new Upload(TIMEOUT_MILLIS);
        assertThat(first.reader.readLine()).isEqualTo(CONTINUE);
        Upload second = new Upload(TIMEOUT_MILLIS);

        assertThat(second.reader.readLine()).isEqualTo(CONTINUE);
        first.sendBody();
        assertThat(first.finalLine()).contains(" 200 ");
    }

    @Example
    void senderThatLeavesPassesItsTurnOn() throws Exception {
        Upload first = new Upload(TIMEOUT_MILLIS);
        assertThat(first.reader.readLine()).isEqualTo(CONTINUE);
        Upload second = new Upload(TIMEOUT_MILLIS);
        Upload third = new Upload(TIMEOUT_MILLIS);
        second.socket.close();
        first.socket.close();

        assertThat(third.reader.readLine()).isEqualTo(CONTINUE);
        third.sendBody();
        assertThat(third.finalLine()).contains(" 200 ");
    }

    /** Bodies of senders that know nothing of turns are received at once. */
    @Example
    void bodyThatIsSentUnaskedIsReceived() throws Exception {
        Upload first = new Upload(TIMEOUT_MILLIS);
        assertThat(first.reader.readLine()).isEqualTo(CONTINUE);
        Upload second = new Upload(TIMEOUT_MILLIS);
        second.sendBody();

        assertThat(second.finalLine()).contains(" 200 ");
    }

    @Example
    void senderSendsLongBodiesWholeAndInTurn() throws Exception {
        HttpSender sender = HttpSender.create(eventLoops, LinkUse.of(LINK), "10.0.0.1");
        List<CompletableFuture<SendOutcome>> answers = new ArrayList<>();
        for (int call = 0; call < 4; call++) {
            HttpCall upload =
                    new HttpCall(
                            "POST",
                            "/photo",
                            new DefaultHttpHeaders(),
                            new byte[BODY_BYTES + call],
                            "127.0.0.1");
            upload.headers().set(MeshHeaders.REFUSALS, LAST_NODE);
            answers.add(sender.send(inbound, upload, upload.headers(), TIMEOUT_MILLIS));
        }
        for (int call = 0; call < 4; call++) {
            SendOutcome outcome = answers.get(call).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            HttpAnswer answer = ((SendOutcome.Completed) outcome).answer();
            assertThat(answer.status()).isEqualTo(200);
            assertThat(new String(answer.body(), StandardCharsets.US_ASCII))
                    .isEqualTo(Integer.toString(BODY_BYTES + call));
        }
        sender.close();
    }

    /** A connection whose call was refused before its body must not carry another call. */
    @Example
    void callsAfterRefusedBodyAreAnswered() throws Exception {
        HttpSender sender = HttpSender.create(eventLoops, LinkUse.of(LINK), "10.0.0.1");
        HttpCall refused = call(new byte[BODY_BYTES], TIMEOUT_MILLIS);
        refused.headers().set(MeshHeaders.TARGET_NODE, "another");
        assertThat(status(sender, refused)).isEqualTo(503);

        for (int call = 0; call < 20; call++) {
            assertThat(status(sender, call(new byte[100], TIMEOUT_MILLIS))).isEqualTo(200);
        }
        sender.close();
    }

    private static HttpCall call(byte[] body, long remainingMillis) {
        HttpCall call = new HttpCall("POST", "/photo", new DefaultHttpHeaders(), body, "127.0.0.1");
        call.headers()
                .set(MeshHeaders.REMAINING_MILLIS, remainingMillis)
                .set(MeshHeaders.REFUSALS, LAST_NODE);
        return call;
    }

    private int status(HttpSender sender, HttpCall call) throws Exception {
        SendOutcome outcome =
                sender.send(inbound, call, call.headers(), TIMEOUT_MILLIS)
                        .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        return ((SendOutcome.Completed) outcome).answer().status();
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Address("127.0.0.1", free.getLocalPort());
        }
    }

    /** A call that waits until it may send its body. */
    private final class Upload {
        private final Socket socket;
        private final BufferedReader reader;

        private Upload(long remainingMillis) throws IOException {
            this("/photo", remainingMillis, LAST_NODE);
        }

        private Upload(String path, long remainingMillis, int refusals) throws IOException {
            Address address = inbound;
            socket = new Socket(address.host(), address.port());
            socket.setSoTimeout(TIMEOUT_MILLIS);
            sockets.add(socket);
            reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            write(
                    "POST "
                            + path
                            + " HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: "
                            + BODY_BYTES
                            + "\r\n"
                            + MeshHeaders.REMAINING_MILLIS
                            + ": "
                            + remainingMillis
                            + "\r\n"
                            + MeshHeaders.REFUSALS
                            + ": "
                            + refusals
                            + "\r\n\r\n");
        }

        private void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
        }

        private void sendBody() throws IOException {
            write("x".repeat(BODY_BYTES));
        }

        private void assertSilent() throws IOException {
            socket.setSoTimeout(SILENCE_MILLIS);
            String line;
            try {
                line = reader.readLine();
            } catch (SocketTimeoutException silent) {
                line = "silent";
            }
            socket.setSoTimeout(TIMEOUT_MILLIS);
            assertThat(line).isEqualTo("silent");
        }

        /** Returns the status line of the final answer, behind any interim one. */
        private String finalLine() throws IOException {
            String line = reader.readLine();
            while (line.isEmpty() || line.equals(CONTINUE)) {
                line = reader.readLine();
            }
            return line;
        }

        /** Returns the body of an answer, the five digits of a time. */
        private String rest() throws IOException {
            char[] body = new char[5];
            int length = 0;
            while (length < body.length) {
                length += reader.read(body, length, body.length - length);
            }
            return new String(body);
        }

        private List<String> headers() throws IOException {
            List<String> headers = new ArrayList<>();
            for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
                headers.add(line);
            }
            return headers;
        }
    }
}
