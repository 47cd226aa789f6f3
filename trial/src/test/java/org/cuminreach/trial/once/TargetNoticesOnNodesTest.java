package org.cuminreach.trial.once;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.settings.Address;

class TargetNoticesOnNodesTest {
    private static final int NODES = 3;
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int CALLERS = 12;
    private static final long RETRY_MILLIS = 5;
    private static final double LIMIT_PER_SECOND = 20;
    private static final long WINDOW_MILLIS = 4_000;

    /** Calls that a target may get in any four seconds, by the users' rule. */
    private static final double MAX_CALLS_IN_WINDOW =
            1.5 * LIMIT_PER_SECOND * WINDOW_MILLIS / 1_000 + 5;

    /** Time after its first such answer in which a leaving target may still get calls. */
    private static final long LEAVING_GRACE_MILLIS = 2_000;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private InProcessMesh mesh;

    @AfterTry
    void stop() throws Exception {
        if (mesh != null) {
            mesh.close();
        }
        for (ScriptedTarget target : targets) {
            target.close();
        }
    }

    @Example
    void limitOfTargetIsNotExceededByAllNodesTogether() throws Exception {
        Deque<Long> arrivals = new ConcurrentLinkedDeque<>();
        ScriptedTarget.Script limited =
                (head, body, socket) -> {
                    arrivals.add(millis());
                    answer(socket, MeshHeaders.TARGET_LIMIT + ": " + LIMIT_PER_SECOND);
                };
        start(limited, TargetNoticesOnNodesTest::answerPlainly);

        callFromAllNodes(WINDOW_MILLIS + 3_000);

        assertThat(mostInWindow(List.copyOf(arrivals))).isAtMost((int) MAX_CALLS_IN_WINDOW);
    }

    @Example
    void limitOfTargetIsNotExceededAfterRestartsOfItsNode() throws Exception {
        Deque<Long> arrivals = new ConcurrentLinkedDeque<>();
        ScriptedTarget.Script limited =
                (head, body, socket) -> {
                    arrivals.add(millis());
                    Thread.sleep(300);
                    answer(socket, MeshHeaders.TARGET_LIMIT + ": 2");
                };
        ScriptedTarget.Script slow =
                (head, body, socket) -> {
                    Thread.sleep(300);
                    answer(socket, MeshHeaders.TARGET_LIMIT + ": 2");
                };
        start(limited, slow);
        AtomicBoolean stopping = new AtomicBoolean();
        List<Thread> callers = startCallers(stopping, 1, NODES);
        Thread.sleep(2_000);
        for (int restart = 0; restart < 3; restart++) {
            mesh.stopNode(0);
            mesh.restartNode(0);
        }
        Thread.sleep(1_000);
        stopping.set(true);
        join(callers);

        double maxCalls = 1.5 * 2 * WINDOW_MILLIS / 1_000 + 5;
        assertThat(mostInWindow(List.copyOf(arrivals))).isAtMost((int) maxCalls);
    }

    @Example
    void leavingTargetIsNotCalledAgainAfterRestartOfItsNode() throws Exception {
        AtomicInteger arrivals = new AtomicInteger();
        ScriptedTarget.Script leaving =
                (head, body, socket) -> {
                    arrivals.incrementAndGet();
                    answer(socket, MeshHeaders.TARGET_LEAVING + ": true");
                };
        start(leaving, TargetNoticesOnNodesTest::answerPlainly);
        AtomicBoolean stopping = new AtomicBoolean();
        List<Thread> callers = startCallers(stopping, 1, NODES);
        InProcessMesh.await(() -> arrivals.get() > 0);
        Thread.sleep(LEAVING_GRACE_MILLIS);
        int before = arrivals.get();
        Thread.sleep(500);
        int withoutRestart = arrivals.get() - before;
        mesh.stopNode(0);
        mesh.restartNode(0);
        Thread.sleep(2_000);
        stopping.set(true);
        join(callers);

        assertThat(withoutRestart).isEqualTo(0);
        assertThat(arrivals.get()).isEqualTo(before);
    }

    /** Starts a mesh whose first target has its own script. */
    private void start(ScriptedTarget.Script first, ScriptedTarget.Script others) throws Exception {
        for (int target = 0; target < NODES; target++) {
            targets.add(ScriptedTarget.start(target == 0 ? first : others));
        }
        List<Address> addresses = targets.stream().map(ScriptedTarget::address).toList();
        mesh =
                InProcessMesh.start(
                        Files.createTempDirectory("target-notices"), addresses, TIMEOUT_MILLIS);
    }

    private void callFromAllNodes(long durationMillis) throws InterruptedException {
        AtomicBoolean stopping = new AtomicBoolean();
        List<Thread> callers = startCallers(stopping, 0, NODES);
        Thread.sleep(durationMillis);
        stopping.set(true);
        join(callers);
    }

    private List<Thread> startCallers(AtomicBoolean stopping, int fromNode, int toNode) {
        List<Thread> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            int node = fromNode + caller % (toNode - fromNode);
            callers.add(
                    Thread.ofVirtual()
                            .start(
                                    () -> {
                                        try {
                                            callUntil(stopping, node);
                                        } catch (InterruptedException interrupted) {
                                            Thread.currentThread().interrupt();
                                        }
                                    }));
        }
        return callers;
    }

    private void callUntil(AtomicBoolean stopping, int node) throws InterruptedException {
        HttpHeaders none = new DefaultHttpHeaders();
        while (!stopping.get()) {
            SendOutcome sent = mesh.send(node, "GET", "/", none, "").join();
            if (!isAnswered(sent)) {
                Thread.sleep(RETRY_MILLIS);
            }
        }
    }

    private static boolean isAnswered(SendOutcome sent) {
        return sent instanceof SendOutcome.Completed completed
                && completed.answer().status() == 200;
    }

    private static void join(List<Thread> threads) throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** Returns the largest number of arrivals in any window, from half a second after the first. */
    private static int mostInWindow(List<Long> arrivals) {
        long from = arrivals.getFirst() + 500;
        List<Long> counted = arrivals.stream().filter(arrival -> arrival >= from).toList();
        int most = 0;
        for (long start : counted) {
            long inWindow =
                    counted.stream()
                            .filter(time -> time >= start && time < start + WINDOW_MILLIS)
                            .count();
            most = Math.max(most, (int) inWindow);
        }
        return most;
    }

    private static void answerPlainly(String head, String body, Socket socket)
            throws IOException, InterruptedException {
        Thread.sleep(5);
        ScriptedTarget.writeAnswer(socket, 200, "done");
    }

    private static void answer(Socket socket, String header) throws IOException {
        ScriptedTarget.write(
                socket, "HTTP/1.1 200 X\r\n" + header + "\r\nContent-Length: 4\r\n\r\ndone");
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }
}
