package org.cuminreach.trial.failure;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongFunction;
import org.cuminreach.trial.mesh.MeshClient;
import org.cuminreach.trial.mesh.MeshPlan;
import org.cuminreach.trial.mesh.SubmissionResult;

/**
 * Operators that concurrently submit documents to different controls and resend each submission
 * with its idempotency key until its outcome is known.
 */
final class ConcurrentOperators {
    private static final long PAUSE_MILLIS = 200;

    /** A submission with its known outcome. */
    record CompletedSubmission(String key, long basedOn, SubmissionResult result) {}

    private final MeshClient client;
    private final List<MeshPlan.Control> controls;
    private final LongFunction<String> documents;
    private final List<CompletedSubmission> completed = new ArrayList<>();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final List<Thread> threads = new ArrayList<>();

    private ConcurrentOperators(
            MeshClient client, List<MeshPlan.Control> controls, LongFunction<String> documents) {
        this.client = client;
        this.controls = controls;
        this.documents = documents;
    }

    static ConcurrentOperators start(
            MeshClient client, List<MeshPlan.Control> controls, LongFunction<String> documents) {
        ConcurrentOperators operators = new ConcurrentOperators(client, controls, documents);
        for (int index = 0; index < controls.size(); index++) {
            int firstTurn = index;
            Thread thread =
                    new Thread(() -> operators.submitRepeatedly(firstTurn), "operator-" + index);
            thread.start();
            operators.threads.add(thread);
        }
        return operators;
    }

    List<CompletedSubmission> finish() throws InterruptedException {
        stopping.set(true);
        for (Thread thread : threads) {
            thread.join();
        }
        synchronized (completed) {
            return List.copyOf(completed);
        }
    }

    private void submitRepeatedly(int firstTurn) {
        int turn = firstTurn;
        while (!stopping.get()) {
            long basedOn =
                    client.json(control(turn).operatorAddress(), "/status")
                            .path("documentVersion")
                            .longValue();
            submitUntilOutcomeKnown(UUID.randomUUID().toString(), basedOn, turn);
            turn++;
            pause();
        }
    }

    /** Submits a document to one control after another until the outcome is known. */
    private void submitUntilOutcomeKnown(String key, long basedOn, int firstTurn) {
        String document = documents.apply(basedOn);
        for (int turn = firstTurn; ; turn++) {
            SubmissionResult result =
                    client.submit(control(turn).operatorAddress(), document, basedOn, key);
            boolean known = !result.isOutcomeUnknown();
            boolean unavailable = result.status() == 503;
            if (known && !unavailable) {
                synchronized (completed) {
                    completed.add(new CompletedSubmission(key, basedOn, result));
                }
                return;
            }
            pause();
        }
    }

    private MeshPlan.Control control(int turn) {
        return controls.get(turn % controls.size());
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
