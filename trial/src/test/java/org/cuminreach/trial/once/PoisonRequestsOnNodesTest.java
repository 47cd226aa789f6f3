package org.cuminreach.trial.once;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.settings.Address;

class PoisonRequestsOnNodesTest {
    private static final int NODES = 6;
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final long DOWN_MILLIS = 800;
    private static final long RUN_BEFORE_CRASH_MILLIS = 100;

    /** Time after the third crash from which the request must be known everywhere. */
    private static final long PROPAGATION_MILLIS = 3_000;

    /** Runs that are allowed after that time. */
    private static final int MAX_LATE_RUNS = 3;

    private static final HttpHeaders NO_HEADERS = new DefaultHttpHeaders();
    private static final long SEED = 3_601;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final List<Long> crashes = new CopyOnWriteArrayList<>();
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
    void poisonRequestAtOneNodeAfterAnotherDoesNotCrashTargetAfterTarget() throws Exception {
        startMesh();

        sendPoison(1_200, 12_000);

        assertThat(lateCrashes()).isAtMost(MAX_LATE_RUNS);
        assertThat(answeredSoundCalls()).isEqualTo(NODES);
    }

    @Example
    void restartedNodesStillRefusePoisonRequest() throws Exception {
        startMesh();
        sendPoison(150, PROPAGATION_MILLIS + 2_000);
        int before = crashes.size();

        restartAllNodes();
        sendPoison(150, 2_000);

        assertThat(crashes.size() - before).isAtMost(MAX_LATE_RUNS);
    }

    @Example
    void soundRequestsBesidePoisonRequestAreNeverRefusedAsPoisonous() throws Exception {
        startMesh();
        AtomicBoolean stopping = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        List<String> poisonous = new CopyOnWriteArrayList<>();
        List<Thread> callers = startSoundCallers(stopping, answered, poisonous);
        sendPoison(150, 3_000);
        Random random = new Random(SEED);
        for (int crash = 0; crash < 8; crash++) {
            targets.get(random.nextInt(NODES)).crash(DOWN_MILLIS);
            Thread.sleep(random.nextInt(500));
        }
        stopping.set(true);
        join(callers);

        assertThat(poisonous).isEmpty();
        assertThat(answered.get()).isGreaterThan(NODES * 50);
        assertThat(answeredSoundCalls()).isEqualTo(NODES);
    }

    @Example
    void poisonRequestDoesNotCrashTheOnlyTargetAgainAndAgain() throws Exception {
        startMesh();
        closeAllTargetsButOne();

        sendPoison(50, 14_000);

        assertThat(lateCrashes()).isAtMost(MAX_LATE_RUNS);
        awaitSoundAnswers();
    }

    @Example
    void restartedNodesStillRefuseRequestThatCrashedTheOnlyTarget() throws Exception {
        startMesh();
        closeAllTargetsButOne();
        sendPoison(150, 6_000);
        int before = crashes.size();

        restartAllNodes();
        sendPoison(150, 4_000);

        assertThat(crashes.size() - before).isAtMost(MAX_LATE_RUNS);
    }

    @Example
    void restartedNodesStillRefuseRequestThatRestartedControlLearnedFromNodes() throws Exception {
        startMesh();
        closeAllTargetsButOne();
        sendPoison(50, PROPAGATION_MILLIS + 2_000);
        int before = crashes.size();

        mesh.restartControl();
        sendPoison(150, 4_000);
        restartAllNodes();
        sendPoison(150, 4_000);

        assertThat(crashes.size() - before).isAtMost(MAX_LATE_RUNS);
        awaitSoundAnswers();
    }

    @Example
    void poisonRequestWhoseCallersLeaveDoesNotCrashTargetAfterTarget() throws Exception {
        startMesh();
        AtomicBoolean stopping = new AtomicBoolean();
        List<String> poisonous = new CopyOnWriteArrayList<>();
        List<Thread> callers = startSoundCallers(stopping, new AtomicInteger(), poisonous);

        sendPoisonAndLeave(300, 12_000);
        stopping.set(true);
        join(callers);

        assertThat(lateCrashes()).isAtMost(MAX_LATE_RUNS);
        assertThat(poisonous).isEmpty();
        assertThat(answeredSoundCalls()).isEqualTo(NODES);
    }

    @Example
    void soundRequestsAtAnOnlyTargetThatCrashesByItselfAreNeverRefusedAsPoisonous()
            throws Exception {
        startMesh();
        closeAllTargetsButOne();
        AtomicBoolean stopping = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        List<String> poisonous = new CopyOnWriteArrayList<>();
        List<Thread> callers = startSoundCallers(stopping, answered, poisonous);

        Random random = new Random(SEED);
        for (int crash = 0; crash < 8; crash++) {
            targets.getFirst().crash(DOWN_MILLIS);
            Thread.sleep(DOWN_MILLIS + 200 + random.nextInt(500));
        }
        stopping.set(true);
        join(callers);

        assertThat(poisonous).isEmpty();
        assertThat(answered.get()).isGreaterThan(NODES * 50);
    }

    private void callSound(
            int node, AtomicBoolean stopping, AtomicInteger answered, List<String> poisonous) {
        for (int number = 0; !stopping.get(); number++) {
            SendOutcome outcome =
                    mesh.send(node, "GET", "/fine" + number % 5, NO_HEADERS, "").join();
            if (isAnswered(outcome)) {
                answered.incrementAndGet();
            } else if (outcome instanceof SendOutcome.Completed completed) {
                String body = new String(completed.answer().body(), StandardCharsets.UTF_8);
                if (body.contains("poisonous")) {
                    poisonous.add(node + " " + body);
                }
            }
        }
    }

    private void startMesh() throws IOException, InterruptedException {
        for (int number = 0; number < NODES; number++) {
            int own = number;
            targets.add(ScriptedTarget.start((head, body, socket) -> answer(own, head, socket)));
        }
        mesh =
                InProcessMesh.start(
                        Files.createTempDirectory("poison"),
                        targets.stream().map(ScriptedTarget::address).toList(),
                        TIMEOUT_MILLIS);
        awaitSoundAnswers();
    }

    private void answer(int target, String head, Socket socket)
            throws IOException, InterruptedException {
        if (head.contains("/poison")) {
            Thread.sleep(RUN_BEFORE_CRASH_MILLIS);
            crashes.add(nowMillis());
            targets.get(target).crash(DOWN_MILLIS);
        } else {
            Thread.sleep(5);
            ScriptedTarget.writeAnswer(socket, 200, "fine");
        }
    }

    /** Sends the request to one node after another, without waiting for its answers. */
    private void sendPoison(long intervalMillis, long durationMillis) throws InterruptedException {
        long endMillis = nowMillis() + durationMillis;
        for (int call = 0; nowMillis() < endMillis; call++) {
            mesh.send(call % NODES, "GET", "/poison", NO_HEADERS, "");
            Thread.sleep(intervalMillis);
        }
    }

    /** Sends the request to one node after another, each time from a caller that soon leaves. */
    private void sendPoisonAndLeave(long intervalMillis, long durationMillis) throws Exception {
        long endMillis = nowMillis() + durationMillis;
        for (int call = 0; nowMillis() < endMillis; call++) {
            Address node = mesh.settings(call % NODES).callerAddress();
            try (Socket socket = new Socket(node.host(), node.port())) {
                ScriptedTarget.write(
                        socket, "GET /poison HTTP/1.1\r\nHost: " + InProcessMesh.HOST + "\r\n\r\n");
                Thread.sleep(RUN_BEFORE_CRASH_MILLIS / 2);
            }
            Thread.sleep(intervalMillis);
        }
    }

    private List<Thread> startSoundCallers(
            AtomicBoolean stopping, AtomicInteger answered, List<String> poisonous) {
        List<Thread> callers = new ArrayList<>();
        for (int caller = 0; caller < NODES; caller++) {
            int node = caller;
            callers.add(
                    Thread.ofVirtual().start(() -> callSound(node, stopping, answered, poisonous)));
        }
        return callers;
    }

    private static void join(List<Thread> threads) throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void restartAllNodes() throws InterruptedException {
        for (int node = 0; node < NODES; node++) {
            mesh.stopNode(node);
            mesh.restartNode(node);
        }
        awaitSoundAnswers();
    }

    private void closeAllTargetsButOne() throws IOException, InterruptedException {
        for (ScriptedTarget target : targets.subList(1, NODES)) {
            target.close();
        }
        awaitSoundAnswers();
    }

    /** Waits until each node has found a target that it can reach. */
    private void awaitSoundAnswers() throws InterruptedException {
        for (int node = 0; node < NODES; node++) {
            int caller = node;
            InProcessMesh.await(() -> isAnswered(caller, "/fine"));
        }
    }

    private long lateCrashes() {
        assertThat(crashes.size()).isAtLeast(2);
        long fromMillis = crashes.size() < 3 ? Long.MAX_VALUE : crashes.get(2) + PROPAGATION_MILLIS;
        return crashes.stream().filter(atMillis -> atMillis > fromMillis).count();
    }

    private int answeredSoundCalls() {
        int answered = 0;
        for (int node = 0; node < NODES; node++) {
            answered += isAnswered(node, "/other") ? 1 : 0;
        }
        return answered;
    }

    private boolean isAnswered(int node, String path) {
        return isAnswered(mesh.send(node, "GET", path, NO_HEADERS, "").join());
    }

    private static boolean isAnswered(SendOutcome outcome) {
        return outcome instanceof SendOutcome.Completed completed
                && completed
                        .answer()
                        .headers()
                        .get(MeshHeaders.OUTCOME, "none")
                        .equals(MeshHeaders.ANSWERED);
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }
}
