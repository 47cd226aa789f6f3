package org.cuminreach.trial.soak;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.trial.once.InProcessMesh;
import org.cuminreach.trial.once.ScriptedTarget;

/**
 * Runs node processes beside targets that name limits and leave, under calls from all nodes, while
 * signals and changes come in series and overlap.
 */
public final class SoakRun {
    private static final int ROUTE_TIMEOUT_MILLIS = 1_000;
    private static final long PAUSE_BETWEEN_CALLS_MILLIS = 15;
    private static final long PAUSE_AFTER_FAILURE_MILLIS = 50;
    private static final long MAX_PAUSE_BETWEEN_SERIES_MILLIS = 1_200;
    private static final long MAX_FREEZE_MILLIS = 1_500;
    private static final long MAX_DOWN_MILLIS = 600;
    private static final double MAX_LIMIT_PER_SECOND = 30;
    private static final int DISRUPTION_KINDS = 6;
    private static final int DISRUPTORS = 2;

    private final SoakPlan plan;
    private final SoakLedger ledger = new SoakLedger();
    private final List<SoakTarget> targets = new ArrayList<>();
    private final List<SoakNode> nodes = new ArrayList<>();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicLong nextCall = new AtomicLong();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger disruptions = new AtomicInteger();

    private SoakRun(SoakPlan plan) {
        this.plan = plan;
    }

    /**
     * Runs a soak.
     *
     * @param plan what it does
     * @return what was seen
     * @throws IOException if a process or a file cannot be created
     * @throws InterruptedException if interrupted while waiting
     */
    public static SoakResult run(SoakPlan plan) throws IOException, InterruptedException {
        return new SoakRun(plan).run();
    }

    private SoakResult run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("cuminreach-soak-" + plan.seed() + "-");
        ScriptedTarget plainTarget = ScriptedTarget.start(this::answerPlainly);
        try (InProcessMesh mesh =
                InProcessMesh.start(folder, List.of(plainTarget.address()), ROUTE_TIMEOUT_MILLIS)) {
            for (int index = 1; index <= plan.nodes(); index++) {
                SoakTarget target = SoakTarget.start("target-" + index, ledger);
                targets.add(target);
                nodes.add(
                        SoakNode.start(
                                folder,
                                "soak-" + index,
                                // Bodies take turns between different hosts only.
                                "127.0.0." + (index + 1),
                                mesh.settings(0),
                                target.address()));
            }
            List<Thread> threads = new ArrayList<>();
            for (SoakNode node : nodes) {
                for (int caller = 0; caller < plan.callersPerNode(); caller++) {
                    threads.add(start(() -> callUntilStopped(mesh, node)));
                }
            }
            InProcessMesh.await(() -> answered.get() > plan.nodes() * plan.callersPerNode());
            for (int disruptor = 0; disruptor < DISRUPTORS; disruptor++) {
                Random random = new Random(plan.seed() * DISRUPTORS + disruptor);
                threads.add(start(() -> disruptUntilStopped(random)));
            }
            Thread.sleep(plan.durationMillis());
            stopping.set(true);
            for (Thread thread : threads) {
                thread.join();
            }
        } finally {
            for (SoakNode node : nodes) {
                node.close();
            }
            for (SoakTarget target : targets) {
                target.close();
            }
            plainTarget.close();
        }
        return new SoakResult(
                answered.get(),
                refused.get(),
                unanswered.get(),
                disruptions.get(),
                ledger.violations());
    }

    private void answerPlainly(String head, String body, Socket socket) throws IOException {
        SoakCall call = SoakCall.parse(head);
        ledger.recordRun("plain", call, ProcessClock.monotonicMillis());
        ScriptedTarget.writeAnswer(
                socket, 200, new SoakAnswer(call.id(), "plain", false, false).text());
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private static Thread start(Step step) {
        return Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                step.run();
                            } catch (IOException failure) {
                                throw new IllegalStateException(failure);
                            } catch (InterruptedException interrupted) {
                                Thread.currentThread().interrupt();
                            }
                        });
    }

    private void callUntilStopped(InProcessMesh mesh, SoakNode node) throws InterruptedException {
        while (!stopping.get()) {
            long number = nextCall.incrementAndGet();
            SoakCall call =
                    new SoakCall(
                            "call-" + number,
                            node.name(),
                            number % 3 != 0,
                            ProcessClock.monotonicMillis());
            SendOutcome outcome =
                    mesh.sendTo(node.callerAddress(), call.method(), call.body(), call.headers())
                            .join();
            Thread.sleep(
                    record(call, outcome)
                            ? PAUSE_BETWEEN_CALLS_MILLIS
                            : PAUSE_AFTER_FAILURE_MILLIS);
        }
    }

    /** Records the outcome of a call and tells whether a target answered it. */
    private boolean record(SoakCall call, SendOutcome outcome) {
        if (!(outcome instanceof SendOutcome.Completed completed)) {
            unanswered.incrementAndGet();
            return false;
        }
        HttpAnswer answer = completed.answer();
        switch (answer.headers().get(MeshHeaders.OUTCOME, "")) {
            case MeshHeaders.ANSWERED -> {
                answered.incrementAndGet();
                String text = new String(answer.body(), StandardCharsets.UTF_8);
                ledger.recordAnswer(call, SoakAnswer.parse(text), ProcessClock.monotonicMillis());
                return true;
            }
            case MeshHeaders.NOT_RUN -> {
                refused.incrementAndGet();
                ledger.recordRefusal(call);
            }
            default -> {
                unanswered.incrementAndGet();
                ledger.recordFailure(call, answer.headers().get(MeshHeaders.REASON, ""));
            }
        }
        return false;
    }

    private void disruptUntilStopped(Random random) throws IOException, InterruptedException {
        while (!stopping.get()) {
            int series = 1 + random.nextInt(3);
            for (int step = 0; step < series && !stopping.get(); step++) {
                disrupt(random);
            }
            Thread.sleep(random.nextLong(MAX_PAUSE_BETWEEN_SERIES_MILLIS));
        }
    }

    private void disrupt(Random random) throws IOException, InterruptedException {
        SoakNode node = nodes.get(random.nextInt(nodes.size()));
        SoakTarget target = targets.get(random.nextInt(targets.size()));
        double limit = Math.round(random.nextDouble() * MAX_LIMIT_PER_SECOND);
        long pauseMillis = random.nextLong(MAX_DOWN_MILLIS);
        disruptions.incrementAndGet();
        switch (random.nextInt(DISRUPTION_KINDS)) {
            case 0 -> restart(node, pauseMillis, node::terminate);
            case 1 -> restart(node, pauseMillis, node::kill);
            case 2 -> freeze(node, random.nextLong(MAX_FREEZE_MILLIS));
            case 3 -> target.setLimit(Optional.of(limit));
            case 4 -> target.setLimit(target.isLimited() ? Optional.empty() : Optional.of(limit));
            default -> targets.getFirst().leave();
        }
    }

    private void restart(SoakNode node, long downMillis, Step end)
            throws IOException, InterruptedException {
        synchronized (node) {
            ledger.recordDisruption(node.name(), ProcessClock.monotonicMillis());
            end.run();
            Thread.sleep(downMillis);
            node.startProcess();
            ledger.recordDisruption(node.name(), ProcessClock.monotonicMillis());
        }
    }

    private void freeze(SoakNode node, long millis) throws IOException, InterruptedException {
        synchronized (node) {
            ledger.recordDisruption(node.name(), ProcessClock.monotonicMillis());
            node.freeze(millis);
            ledger.recordDisruption(node.name(), ProcessClock.monotonicMillis());
        }
    }
}
