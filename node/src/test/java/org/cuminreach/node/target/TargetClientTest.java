package org.cuminreach.node.target;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.EventLoops;
import org.cuminreach.runtime.http.BodyMemory;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.runtime.http.HttpServer;
import org.cuminreach.settings.Address;

/** Covers targets whose answers are duplicate, late, truncated or malformed. */
class TargetClientTest {
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final long WAIT_SECONDS = 30;
    private static final String ID_HEADER = "Id";

    /** Bytes that a target sends, and whether it closes the connection afterwards. */
    private record Reply(String bytes, boolean closes) {}

    @Example
    void answerOfEarlierCallIsDropped() throws Exception {
        List<SendOutcome> outcomes =
                sendCalls(
                        2,
                        number ->
                                new Reply(answer("other", "late") + matchingAnswer(number), false));

        assertThat(body(outcomes.get(0))).isEqualTo("body-1");
        assertThat(body(outcomes.get(1))).isEqualTo("body-2");
    }

    @Example
    void duplicateAnswerIsNotUsedForNextCall() throws Exception {
        List<SendOutcome> outcomes =
                sendCalls(
                        3,
                        number ->
                                new Reply(matchingAnswer(number) + matchingAnswer(number), false));

        assertThat(body(outcomes.get(2))).isEqualTo("body-3");
    }

    @Example
    void truncatedAnswerIsLost() throws Exception {
        String truncated = matchingAnswer(1).substring(0, matchingAnswer(1).length() - 2);

        assertThat(sendCalls(1, number -> new Reply(truncated, true)).getFirst())
                .isInstanceOf(SendOutcome.Lost.class);
    }

    @Example
    void malformedAnswerIsLost() throws Exception {
        assertThat(
                        sendCalls(1, number -> new Reply("\u0001\u0002 nothing\r\n\r\n", false))
                                .getFirst())
                .isInstanceOf(SendOutcome.Lost.class);
    }

    /** An endless answer must not exhaust memory, whether it matches the call or is discarded. */
    @Example
    void endlessBodyIsRejectedAtLimit() throws Exception {
        String chunk = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
        String endless = chunk.repeat(HttpServer.MAX_BODY_BYTES / 0x10000 + 1);
        for (String id : new String[] {"1", "other"}) {
            String head = "HTTP/1.1 200 OK\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n";

            assertThat(sendCalls(1, number -> new Reply(head + endless, false)).getFirst())
                    .isEqualTo(new SendOutcome.Lost("answer_too_long"));
        }
    }

    @Example
    void endlessHeadersAreRejectedAtLimit() throws Exception {
        String endless = "HTTP/1.1 200 OK\r\n" + "Name: value\r\n".repeat(100_000);

        assertThat(sendCalls(1, number -> new Reply(endless, false)).getFirst())
                .isEqualTo(new SendOutcome.Lost("malformed_answer"));
    }

    /** Answers that a target sends before the answer to a call must not occupy the event loop. */
    @Example
    void endlessAnswersBeforeTheAnswerToTheCallAreRejectedAtLimit() throws Exception {
        String informational = "HTTP/1.1 100 Continue\r\n\r\n";
        String mismatched = answer("other", "late");
        for (String dropped : List.of(informational, mismatched)) {
            assertThat(sendCalls(1, number -> new Reply(dropped.repeat(10_000), false)).getFirst())
                    .isEqualTo(new SendOutcome.Lost("unexpected_answers"));
            Reply few = new Reply(dropped.repeat(3) + matchingAnswer(1), false);
            assertThat(body(sendCalls(1, number -> few).getFirst())).isEqualTo("body-1");
        }
    }

    /** Answers that never end, many at once, must not take the memory of other calls' answers. */
    @Example
    void endlessAnswersAtOnceLeaveMemoryForOtherAnswers() throws Exception {
        int sound = 21;
        String endless = "HTTP/1.1 200 OK\r\nId: %d\r\n\r\n" + "x".repeat(700_000);
        BodyMemory memory = BodyMemory.of(1024 * 1024);
        EventLoopGroup loops = EventLoops.start(1);
        TargetClient client = TargetClient.create(loops, memory);
        try (ServerSocket target = new ServerSocket(0, 64, InetAddress.getLoopbackAddress())) {
            startThread(
                    () ->
                            serveConnections(
                                    target,
                                    (connection, request) ->
                                            connection < sound
                                                    ? endless.formatted(connection)
                                                    : matchingAnswer(sound)));
            Address address = new Address("127.0.0.1", target.getLocalPort());
            List<CompletableFuture<SendOutcome>> calls = new ArrayList<>();
            for (int number = 1; number < sound; number++) {
                calls.add(send(client, address, number));
            }
            CompletableFuture.anyOf(calls.toArray(CompletableFuture[]::new))
                    .get(WAIT_SECONDS, TimeUnit.SECONDS);

            assertThat(body(sendCalls(client, address, sound))).isEqualTo("body-" + sound);
            for (CompletableFuture<SendOutcome> call : calls) {
                assertThat(call.get(WAIT_SECONDS, TimeUnit.SECONDS))
                        .isInstanceOf(SendOutcome.Lost.class);
            }
            assertThat(memory.usedBytes()).isEqualTo(0);
        } finally {
            client.closeIdle();
            EventLoops.stop(loops);
        }
    }

    @Example
    void answerWithoutLengthEndsAtConnectionClose() throws Exception {
        String open = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole";

        assertThat(body(sendCalls(1, number -> new Reply(open, true)).getFirst()))
                .isEqualTo("whole");
    }

    /** A head without its end is no answer, wherever it stops and however its bytes arrive. */
    @Example
    void answerCutAnywhereInItsHeadIsLost() throws Exception {
        String whole = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: a.1\r\nContent-Length: 0\r\n\r\n";
        for (int length = 0; length < whole.length(); length++) {
            String cut = whole.substring(0, length);

            assertThat(sendCalls(1, number -> new Reply(cut, true)).getFirst())
                    .isInstanceOf(SendOutcome.Lost.class);
        }
        assertThat(sendCalls(1, number -> new Reply(whole, true)).getFirst())
                .isInstanceOf(SendOutcome.Completed.class);
    }

    /** The repeated refusal is written once the next attempt of the call has arrived. */
    @Example
    void repeatedRefusalIsNotTakenForAnswerToNextAttemptOfTheCall() throws Exception {
        String refusal = "HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 4\r\n\r\nfull";
        for (int split = 0; split <= refusal.length(); split++) {
            String early = refusal.substring(0, split);
            String late = refusal.substring(split);
            List<Integer> statuses =
                    statusesOfAttempts(
                            (connection, request) ->
                                    switch (request) {
                                        case 1 ->
                                                connection == 1
                                                        ? refusal + early
                                                        : answer("1", "ran");
                                        default -> late + answer("1", "ran");
                                    });

            assertThat(statuses).containsExactly(503, 200).inOrder();
        }
    }

    @Example
    void answerWithoutIdentityOnKeptConnectionIsLost() throws Exception {
        List<SendOutcome> outcomes =
                sendCalls(
                        2,
                        number ->
                                new Reply(
                                        number == 1
                                                ? matchingAnswer(1)
                                                : "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
                                        false));

        assertThat(outcomes.get(1)).isEqualTo(new SendOutcome.Lost("answer_without_identity"));
    }

    /** A target that refuses the same call again and again must not use up the connections. */
    @Example
    void connectionIsReusedByOtherCallsAfterRefusal() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        List<SendOutcome> outcomes =
                sendCalls(
                        20,
                        connections,
                        number ->
                                new Reply(
                                        "HTTP/1.1 503 Full\r\nId: %d\r\nContent-Length: 0\r\n\r\n"
                                                .formatted(number),
                                        false));

        assertThat(outcomes).hasSize(20);
        assertThat(connections.get()).isEqualTo(1);
    }

    @Example
    void callWithoutListenerIsNeverSent() throws Exception {
        EventLoopGroup loops = EventLoops.start(1);
        Address unused;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unused = new Address("127.0.0.1", socket.getLocalPort());
        }
        try {
            assertThat(sendCalls(TargetClient.create(loops), unused, 1))
                    .isInstanceOf(SendOutcome.NotSent.class);
        } finally {
            EventLoops.stop(loops);
        }
    }

    /** Sends two attempts of one call to a target and returns the statuses of their answers. */
    private static List<Integer> statusesOfAttempts(
            BiFunction<Integer, Integer, String> repliesByConnectionAndRequest) throws Exception {
        EventLoopGroup loops = EventLoops.start(1);
        TargetClient client = TargetClient.create(loops);
        try (ServerSocket target = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            startThread(() -> serveConnections(target, repliesByConnectionAndRequest));
            Address address = new Address("127.0.0.1", target.getLocalPort());
            return List.of(
                    status(sendCalls(client, address, 1)), status(sendCalls(client, address, 1)));
        } finally {
            client.closeIdle();
            EventLoops.stop(loops);
        }
    }

    private static int status(SendOutcome outcome) {
        assertThat(outcome).isInstanceOf(SendOutcome.Completed.class);
        return ((SendOutcome.Completed) outcome).answer().status();
    }

    private static void startThread(Runnable task) {
        Thread server = new Thread(task, "target");
        server.setDaemon(true);
        server.start();
    }

    private static void serveConnections(
            ServerSocket target, BiFunction<Integer, Integer, String> replies) {
        int accepted = 0;
        try {
            while (true) {
                Socket connection = target.accept();
                accepted++;
                int number = accepted;
                startThread(() -> serveConnection(connection, number, replies));
            }
        } catch (IOException closed) {
            // The test has ended and closed the socket.
            Thread.currentThread().interrupt();
        }
    }

    private static void serveConnection(
            Socket connection, int number, BiFunction<Integer, Integer, String> replies) {
        int requests = 0;
        try (connection) {
            while (readRequest(connection.getInputStream())) {
                requests++;
                connection
                        .getOutputStream()
                        .write(
                                replies.apply(number, requests)
                                        .getBytes(StandardCharsets.ISO_8859_1));
                connection.getOutputStream().flush();
            }
        } catch (IOException closed) {
            Thread.currentThread().interrupt();
        }
    }

    private static String matchingAnswer(int number) {
        return answer(Integer.toString(number), "body-" + number);
    }

    private static String answer(String id, String body) {
        return "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(id, body.length(), body);
    }

    private static String body(SendOutcome outcome) {
        assertThat(outcome).isInstanceOf(SendOutcome.Completed.class);
        return new String(
                ((SendOutcome.Completed) outcome).answer().body(), StandardCharsets.UTF_8);
    }

    /** Sends calls one after the other to a target that sends the given replies. */
    private static List<SendOutcome> sendCalls(int calls, Function<Integer, Reply> replies)
            throws Exception {
        return sendCalls(calls, new AtomicInteger(), replies);
    }

    private static List<SendOutcome> sendCalls(
            int calls, AtomicInteger connections, Function<Integer, Reply> replies)
            throws Exception {
        EventLoopGroup loops = EventLoops.start(1);
        TargetClient client = TargetClient.create(loops);
        try (ServerSocket target = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            startThread(() -> serve(target, connections, replies));
            Address address = new Address("127.0.0.1", target.getLocalPort());
            List<SendOutcome> outcomes = new ArrayList<>();
            for (int number = 1; number <= calls; number++) {
                outcomes.add(sendCalls(client, address, number));
            }
            return outcomes;
        } finally {
            client.closeIdle();
            EventLoops.stop(loops);
        }
    }

    private static SendOutcome sendCalls(TargetClient client, Address address, int number)
            throws Exception {
        return send(client, address, number).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private static CompletableFuture<SendOutcome> send(
            TargetClient client, Address address, int number) {
        String id = Integer.toString(number);
        HttpCall call =
                new HttpCall("GET", "/", new DefaultHttpHeaders(), new byte[0], "127.0.0.1");
        return client.send(
                address,
                call,
                new DefaultHttpHeaders().set("Host", "a"),
                new ExpectedAnswer(
                        id,
                        headers -> headers.get(ID_HEADER, id).equals(id),
                        headers -> headers.contains(ID_HEADER)),
                TIMEOUT_MILLIS);
    }

    private static void serve(
            ServerSocket target, AtomicInteger connections, Function<Integer, Reply> replies) {
        int number = 0;
        try {
            while (true) {
                Socket connection = target.accept();
                connections.incrementAndGet();
                while (readRequest(connection.getInputStream())) {
                    number++;
                    Reply reply = replies.apply(number);
                    connection
                            .getOutputStream()
                            .write(reply.bytes().getBytes(StandardCharsets.ISO_8859_1));
                    connection.getOutputStream().flush();
                    if (reply.closes()) {
                        connection.close();
                        break;
                    }
                }
            }
        } catch (IOException closed) {
            // The test has ended and closed the socket.
            Thread.currentThread().interrupt();
        }
    }

    /** Reads a request without a body; returns false when the connection is closed. */
    private static boolean readRequest(InputStream input) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return false;
            }
            read.append((char) next);
        }
        return true;
    }
}
