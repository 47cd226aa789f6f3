package org.cuminreach.trial.once;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cuminreach.node.http.SendOutcome;

class HedgedCallsOnNodesTest {
    private static final int NODES = 3;
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final int WARM_UP_CALLS = 40;
    private static final int WARM_UP_RUN_MILLIS = 20;

    /** Run of the second attempt, during which the hedged one starts. */
    private static final int FAILING_RUN_MILLIS = 2_000;

    private static final int HEDGED_RUN_MILLIS = 4_000;
    private static final String OVERDUE_PATH = "/overdue";
    private static final HttpHeaders NO_HEADERS = new DefaultHttpHeaders();

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final AtomicInteger runs = new AtomicInteger();
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

    /** Guards against an answer of our own to a call that its target is running. */
    @Example
    void failureOfResentAttemptDoesNotCancelHedgedOneThatRuns() throws Exception {
        for (int number = 0; number < NODES; number++) {
            targets.add(ScriptedTarget.start(this::run));
        }
        mesh =
                InProcessMesh.start(
                        Files.createTempDirectory("hedged-calls"),
                        targets.stream().map(ScriptedTarget::address).toList(),
                        TIMEOUT_MILLIS);
        for (int call = 0; call < WARM_UP_CALLS; call++) {
            assertThat(status("/usual-" + call)).isEqualTo(200);
        }

        assertThat(status(OVERDUE_PATH)).isEqualTo(200);
        assertThat(runs.get()).isEqualTo(3);
    }

    private int status(String path) {
        SendOutcome sent = mesh.send(0, "GET", path, NO_HEADERS, "").join();
        return sent instanceof SendOutcome.Completed completed ? completed.answer().status() : 0;
    }

    /** Loses the first run of the overdue request, fails the second and answers the third. */
    private void run(String head, String body, Socket socket)
            throws IOException, InterruptedException {
        if (!head.startsWith("GET " + OVERDUE_PATH)) {
            Thread.sleep(WARM_UP_RUN_MILLIS);
            ScriptedTarget.writeAnswer(socket, 200, "usual");
            return;
        }
        switch (runs.incrementAndGet()) {
            case 1 -> throw new IOException("the connection is lost");
            case 2 -> {
                Thread.sleep(FAILING_RUN_MILLIS);
                ScriptedTarget.writeAnswer(socket, 500, "failed");
            }
            default -> {
                Thread.sleep(HEDGED_RUN_MILLIS);
                ScriptedTarget.writeAnswer(socket, 200, "done");
            }
        }
    }
}
