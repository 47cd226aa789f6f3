package org.cuminreach.node.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cuminreach.decisions.admission.LinkRate;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.http.BodyMemory;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.LinkUse;
import org.cuminreach.settings.Address;
import org.cuminreach.trial.once.ScriptedTarget;

class HttpSenderTest {
    private static final long TEST_TIMEOUT_MILLIS = 20_000;
    private static final String INVALID_STATUS =
            "HTTP/1.1 000 X\r\nContent-Length: 7\r\n\r\ntrouble";

    private EventLoopGroup eventLoops;
    private HttpSender sender;

    @BeforeTry
    void start() {
        eventLoops = EventLoops.start(1);
        sender = HttpSender.create(eventLoops);
    }

    @AfterTry
    void stop() throws IOException {
        sender.close();
        EventLoops.stop(eventLoops);
    }

    @Example
    void refusedConnectionIsReportedAsNotSent() throws Exception {
        Address unusedAddress;
        try (ServerSocket socket = new ServerSocket(0)) {
            unusedAddress = new Address("127.0.0.1", socket.getLocalPort());
        }
        assertThat(send(unusedAddress, call(), TEST_TIMEOUT_MILLIS))
                .isInstanceOf(SendOutcome.NotSent.class);
    }

    /** The peer accepts no connection, so that the time of the call runs out before it is sent. */
    @Example
    void callWhoseTimeEndsWhileItsConnectionOpensIsReportedAsNotSent() throws Exception {
        try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                SocketChannel first = SocketChannel.open();
                SocketChannel second = SocketChannel.open();
                SocketChannel third = SocketChannel.open()) {
            for (SocketChannel filler : List.of(first, second, third)) {
                filler.configureBlocking(false);
                filler.connect(peer.getLocalSocketAddress());
            }
            Address address = new Address("127.0.0.1", peer.getLocalPort());

            assertThat(send(address, call(), 150))
                    .isEqualTo(new SendOutcome.NotSent("timeout_before_sending"));
        }
    }

    /** Guards against orders answered as possibly run whose bodies never left their node. */
    @Example
    void callWhoseTimeEndsBeforeItsBodyIsAskedForHasNotRun() throws Exception {
        loadClient();
        startOnNarrowLink();
        try (ScriptedTarget peer = ScriptedTarget.start((head, body, socket) -> {})) {
            assertThat(send(peer.address(), longCall(), 300))
                    .isEqualTo(new SendOutcome.BodyNotSent("timeout_before_body"));
            assertThat(peer.requestHeads()).hasSize(1);
        }
    }

    @Example
    void callWhoseBodyWasAskedForIsLostWithItsConnection() throws Exception {
        startOnNarrowLink();
        try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> askForBodyAndClose(peer));

            assertThat(
                            send(
                                    new Address("127.0.0.1", peer.getLocalPort()),
                                    longCall(),
                                    TEST_TIMEOUT_MILLIS))
                    .isInstanceOf(SendOutcome.Lost.class);
        }
    }

    private void startOnNarrowLink() throws IOException {
        sender.close();
        LinkUse link = LinkUse.of(LinkRate.ofKilobitsPerSecond(2_310));
        sender = HttpSender.create(eventLoops, link, "10.0.0.1");
    }

    private static HttpCall longCall() {
        return new HttpCall("POST", "/photo", headers(), new byte[60_000], "127.0.0.1");
    }

    private static void askForBodyAndClose(ServerSocket peer) {
        try (Socket socket = peer.accept()) {
            ScriptedTarget.write(socket, "HTTP/1.1 100 Continue\r\n\r\n");
            socket.getInputStream().readNBytes(20_000);
        } catch (IOException closed) {
            throw new UncheckedIOException(closed);
        }
    }

    @Example
    void connectionClosedAfterTheRequestIsLost() throws Exception {
        assertLost((head, body, socket) -> socket.close());
    }

    @Example
    void connectionResetAfterTheRequestIsLost() throws Exception {
        assertLost((head, body, socket) -> ScriptedTarget.reset(socket));
    }

    @Example
    void endlessAnswerIsRejectedWhenItsMemoryIsUsedUp() throws Exception {
        sender.close();
        sender =
                HttpSender.create(
                        eventLoops, BodyMemory.of(1024 * 1024), LinkUse.of(LinkRate.unknown()), "");
        String chunk = "1000\r\n" + "x".repeat(0x1000) + "\r\n";
        try (ScriptedTarget peer =
                ScriptedTarget.start(
                        (head, body, socket) -> {
                            ScriptedTarget.write(
                                    socket, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n");
                            while (true) {
                                ScriptedTarget.write(socket, chunk);
                            }
                        })) {
            assertThat(send(peer.address(), call(), TEST_TIMEOUT_MILLIS))
                    .isEqualTo(new SendOutcome.Lost("answer_too_long"));
        }
        assertThat(sender.answerMemory().usedBytes()).isEqualTo(0);
    }

    @Example
    void answerWithInvalidStatusIsLost() throws Exception {
        assertLost((head, body, socket) -> ScriptedTarget.write(socket, INVALID_STATUS));
    }

    @Example
    void answerWithWhitespaceInFieldNameIsLost() throws Exception {
        for (String field : List.of("X Name: v", "X-Name : v", " X-Name: v")) {
            String answer =
                    "HTTP/1.1 200 X\r\nSeal: a.1\r\n" + field + "\r\nContent-Length: 0\r\n\r\n";
            assertLost((head, body, socket) -> ScriptedTarget.write(socket, answer));
        }
    }

    @Example
    void answerShorterThanItsLengthIsLost() throws Exception {
        assertLost(
                (head, body, socket) -> {
                    ScriptedTarget.write(socket, "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\ncut");
                    socket.close();
                });
    }

    @Example
    void answerCutAnywhereInItsHeadIsLost() throws Exception {
        String head = "HTTP/1.1 200 X\r\nSeal: a.1\r\nContent-Length: 0\r\n\r\n";
        for (int length = 0; length < head.length(); length++) {
            String cut = head.substring(0, length);
            assertLost(
                    (request, body, socket) -> {
                        ScriptedTarget.write(socket, cut);
                        socket.close();
                    });
        }
    }

    @Example
    void chunkedAnswerWithoutItsLastChunkIsLost() throws Exception {
        assertLost(
                (head, body, socket) -> {
                    ScriptedTarget.write(
                            socket,
                            "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n");
                    socket.close();
                });
    }

    @Example
    void answerDelimitedByConnectionCloseIsLost() throws Exception {
        assertLost(
                (head, body, socket) -> {
                    ScriptedTarget.write(socket, "HTTP/1.1 200 X\r\n\r\ncut?");
                    socket.close();
                });
    }

    @Example
    void completeChunkedAnswerIsCompleted() throws Exception {
        try (ScriptedTarget target =
                ScriptedTarget.start(
                        (head, body, socket) ->
                                ScriptedTarget.write(
                                        socket,
                                        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
                                                + "3\r\nall\r\n0\r\n\r\n"))) {
            assertThat(body(send(target.address(), call(), TEST_TIMEOUT_MILLIS))).isEqualTo("all");
        }
    }

    @Example
    void lateAnswerNeverReachesTheNextRequest() throws Exception {
        loadClient();
        try (ScriptedTarget target = ScriptedTarget.start(HttpSenderTest::answerFirstLate)) {
            SendOutcome first = send(target.address(), call(), 300);
            assertThat(first).isEqualTo(new SendOutcome.Lost("timeout"));
            SendOutcome second = send(target.address(), call(), TEST_TIMEOUT_MILLIS);
            assertThat(body(second)).isEqualTo("2");
            assertThat(target.acceptedConnections()).isEqualTo(2);
        }
    }

    @Example
    void partOfAnAnswerBehindAnswerIsNeverTakenForTheNextAnswer() throws Exception {
        String part = "HTTP/1.1 503 X\r\nContent-Type: text/plain\r\nServer: n";
        for (int length = 1; length <= part.length(); length++) {
            String additional = part.substring(0, length);
            try (ScriptedTarget target =
                    ScriptedTarget.start(
                            (head, body, socket) ->
                                    ScriptedTarget.write(
                                            socket,
                                            "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"
                                                    + additional))) {
                assertThat(body(send(target.address(), call(), TEST_TIMEOUT_MILLIS)))
                        .isEqualTo("ok");
                switch (send(target.address(), call(), TEST_TIMEOUT_MILLIS)) {
                    case SendOutcome.Completed completed ->
                            assertThat(completed.answer().status()).isEqualTo(200);
                    case SendOutcome other ->
                            assertThat(other).isInstanceOf(SendOutcome.Lost.class);
                }
            }
        }
    }

    @Example
    void cookieIsNotSentWithTheNextCall() throws Exception {
        try (ScriptedTarget target =
                ScriptedTarget.start(
                        (head, body, socket) ->
                                ScriptedTarget.write(
                                        socket,
                                        "HTTP/1.1 200 X\r\nSet-Cookie: session=first\r\n"
                                                + "Content-Length: 0\r\n\r\n"))) {
            send(target.address(), call(), TEST_TIMEOUT_MILLIS);
            send(target.address(), call(), TEST_TIMEOUT_MILLIS);
            assertThat(target.requestHeads().get(1)).doesNotContain("session=first");
        }
    }

    @Example
    void abandonedCallClosesItsConnection() throws Exception {
        try (ScriptedTarget target =
                ScriptedTarget.start((head, body, socket) -> socket.getInputStream().read())) {
            HttpCall call = call();
            var sending = sender.send(target.address(), call, headers(), TEST_TIMEOUT_MILLIS);
            await(() -> target.requestHeads().size() == 1);
            call.abandoned().complete(null);
            assertThat(sending.get(TEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                    .isEqualTo(new SendOutcome.Lost("abandoned"));
            await(() -> target.closedByPeer() == 1);
        }
    }

    private static void answerFirstLate(String head, String body, Socket socket)
            throws IOException, InterruptedException {
        if (head.contains("first-late: 1")) {
            Thread.sleep(600);
        }
        ScriptedTarget.writeAnswer(socket, 200, head.contains("first-late: 1") ? "1" : "2");
    }

    /** Loads the classes of the client, which can take longer than a call may. */
    private void loadClient() throws Exception {
        try (ScriptedTarget target =
                ScriptedTarget.start(
                        (head, body, socket) -> ScriptedTarget.writeAnswer(socket, 200, ""))) {
            sender.send(target.address(), call(), headers(), TEST_TIMEOUT_MILLIS)
                    .get(TEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private int sent;

    private SendOutcome send(Address to, HttpCall call, long timeoutMillis) throws Exception {
        sent++;
        return sender.send(to, call, headers().set("first-late", sent), timeoutMillis)
                .get(TEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void assertLost(ScriptedTarget.Script script) throws Exception {
        try (ScriptedTarget target = ScriptedTarget.start(script)) {
            assertThat(send(target.address(), call(), TEST_TIMEOUT_MILLIS))
                    .isInstanceOf(SendOutcome.Lost.class);
        }
    }

    private static String body(SendOutcome outcome) {
        assertThat(outcome).isInstanceOf(SendOutcome.Completed.class);
        return new String(((SendOutcome.Completed) outcome).answer().body());
    }

    private static HttpCall call() {
        return new HttpCall("POST", "/order", headers(), "one".getBytes(), "127.0.0.1");
    }

    private static HttpHeaders headers() {
        return new DefaultHttpHeaders().set("Host", "parts.test");
    }

    private static void await(java.util.function.BooleanSupplier condition)
            throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TEST_TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(deadline);
            Thread.sleep(5);
        }
    }
}
