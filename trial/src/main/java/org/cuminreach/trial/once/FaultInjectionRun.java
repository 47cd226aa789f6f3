package org.cuminreach.trial.once;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.http.HttpAnswer;

/**
 * Sends numbered calls through a mesh whose targets inject faults, and checks the outcomes that
 * callers see against the runs on the targets. The fault of a call depends only on its number and
 * the seed.
 */
public final class FaultInjectionRun {
    private static final int FAULT_KINDS = 10;
    private static final long LATE_ANSWER_DELAY_MILLIS = 1_500;
    private static final int MAX_PADDING_CHARACTERS = 3_000;
    private static final int SENDS_PER_KEYED_CALL = 3;
    private static final int KEYED_CALL_DIVISOR = 2;

    private final long seed;
    private final Map<String, Integer> runCounts = new ConcurrentHashMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger repeated = new AtomicInteger();
    private final AtomicInteger notRun = new AtomicInteger();
    private final AtomicInteger mayHaveRun = new AtomicInteger();

    private FaultInjectionRun(long seed) {
        this.seed = seed;
    }

    /**
     * Creates a run.
     *
     * @param seed seed of its faults
     * @return the run
     */
    public static FaultInjectionRun withSeed(long seed) {
        return new FaultInjectionRun(seed);
    }

    /**
     * Handles a request as a target of this run and injects its fault.
     *
     * @param head request line and headers
     * @param body the body
     * @param socket connection to answer on
     * @throws IOException to close the connection
     * @throws InterruptedException if interrupted while waiting
     */
    public void handleTargetRequest(String head, String body, Socket socket)
            throws IOException, InterruptedException {
        if (head.contains(" /ready ")) {
            ScriptedTarget.writeAnswer(socket, 200, "ready");
            return;
        }
        String number = head.substring(head.indexOf("/call/") + 6, head.indexOf(" HTTP"));
        int fault = randomFor(number).nextInt(FAULT_KINDS);
        if (fault == 0) {
            resetConnection(socket);
        }
        runCounts.merge(number, 1, Integer::sum);
        String answer = expectedBody(number);
        switch (fault) {
            case 1 -> resetConnection(socket);
            case 2 -> Thread.sleep(LATE_ANSWER_DELAY_MILLIS);
            case 3 -> {
                ScriptedTarget.write(
                        socket,
                        "HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s"
                                .formatted(answer.length() + 1, answer));
                throw new IOException("answer truncated by the injected fault");
            }
            case 4 -> {
                ScriptedTarget.write(
                        socket,
                        "HTTP/1.1 503 X\r\n%s: not-run\r\nContent-Length: %d\r\n\r\n%s"
                                .formatted(MeshHeaders.OUTCOME, answer.length(), answer));
                return;
            }
            default -> Thread.sleep(randomFor(number).nextInt(5));
        }
        ScriptedTarget.writeAnswer(socket, 200, answer);
    }

    /**
     * Sends calls, those with an idempotency key three times, and checks their outcomes.
     *
     * @param mesh the mesh
     * @param nodes number of its nodes
     * @param firstNumber number of the first call
     * @param calls number of calls
     */
    public void sendCalls(InProcessMesh mesh, int nodes, int firstNumber, int calls) {
        for (int index = 0; index < calls; index++) {
            String number = Integer.toString(firstNumber + index);
            Random random = randomFor("caller" + number);
            boolean keyed = random.nextInt(KEYED_CALL_DIVISOR) > 0;
            HttpHeaders headers = new DefaultHttpHeaders();
            if (keyed) {
                String key = InProcessMesh.timedKey(System.currentTimeMillis(), random);
                headers.set(MeshHeaders.IDEMPOTENCY_KEY, key);
            }
            for (int sent = 0; sent < (keyed ? SENDS_PER_KEYED_CALL : 1); sent++) {
                int node = random.nextInt(nodes);
                checkOutcome(
                        number, mesh.send(node, "POST", "/call/" + number, headers, "x").join());
            }
        }
    }

    /**
     * Returns the violations of at-most-once execution and of reported outcomes.
     *
     * @return one line for each violation
     */
    public List<String> violations() {
        runCounts.forEach(
                (number, count) -> {
                    if (count > 1) {
                        violations.add("call " + number + " ran " + count + " times");
                    }
                });
        return violations;
    }

    /**
     * Returns the number of calls with each outcome.
     *
     * @return one line of text
     */
    public String summary() {
        return "answered=%d repeated=%d not_run=%d may_have_run=%d ran=%d"
                .formatted(
                        answered.get(),
                        repeated.get(),
                        notRun.get(),
                        mayHaveRun.get(),
                        runCounts.size());
    }

    /**
     * Returns how many resent calls received the stored answer of the first one.
     *
     * @return number of repeated answers
     */
    public int repeated() {
        return repeated.get();
    }

    private void checkOutcome(String number, SendOutcome outcome) {
        if (!(outcome instanceof SendOutcome.Completed completed)) {
            violations.add("call " + number + " received no complete answer: " + outcome);
            return;
        }
        HttpAnswer answer = completed.answer();
        String outcomeHeader = answer.headers().get(MeshHeaders.OUTCOME, "none");
        switch (outcomeHeader) {
            case MeshHeaders.ANSWERED -> checkAnswer(number, answer);
            case MeshHeaders.NOT_RUN -> {
                notRun.incrementAndGet();
                if (runCounts.containsKey(number)) {
                    violations.add("call " + number + " ran but was reported as not run");
                }
            }
            case MeshHeaders.MAY_HAVE_RUN -> mayHaveRun.incrementAndGet();
            default ->
                    violations.add("call " + number + " has the unknown outcome " + outcomeHeader);
        }
    }

    private void checkAnswer(String number, HttpAnswer answer) {
        answered.incrementAndGet();
        if (answer.headers().contains(MeshHeaders.REPEATED)) {
            repeated.incrementAndGet();
        }
        String body = new String(answer.body(), StandardCharsets.UTF_8);
        if (!body.equals(expectedBody(number))) {
            violations.add("call " + number + " received the wrong answer " + body);
        }
    }

    private String expectedBody(String number) {
        return number + " " + "p".repeat(randomFor(number).nextInt(MAX_PADDING_CHARACTERS));
    }

    private Random randomFor(String number) {
        return new Random(seed * 31 + number.hashCode());
    }

    private static void resetConnection(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        throw new IOException("connection reset by the injected fault");
    }
}
