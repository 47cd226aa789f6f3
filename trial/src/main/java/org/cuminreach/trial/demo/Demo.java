package org.cuminreach.trial.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import org.cuminreach.trial.load.LoadGenerator;
import org.cuminreach.trial.mesh.CallReport;
import org.cuminreach.trial.mesh.MeshPlan;
import org.cuminreach.trial.mesh.ResultTable;
import org.cuminreach.trial.mesh.RunningMesh;
import org.cuminreach.trial.mesh.SubmissionResult;
import org.cuminreach.trial.mesh.TrialFailedException;

/** The course of the demonstration. */
final class Demo {
    private static final int CALLS_PER_SECOND = 400;
    private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(8);
    private static final Duration ROLLOUT_TIMEOUT = Duration.ofSeconds(45);
    private static final Duration ELECTION_TIMEOUT = Duration.ofSeconds(8);
    private static final Set<String> NO_ROLLOUTS = Set.of();
    private static final Set<String> ROLLING_OUT = Set.of("verksted", "order-app");
    private static final long MAX_NODE_MEMORY_BYTES = 256L * 1024 * 1024;
    private static final long MEBIBYTE = 1024L * 1024;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RunningMesh mesh;
    private final ResultTable table = ResultTable.empty();
    private long documentVersion;

    Demo(RunningMesh mesh) {
        this.mesh = mesh;
    }

    ResultTable run() throws IOException, InterruptedException {
        table.add("idle node memory, largest (MiB)", maxNodeMemory() / MEBIBYTE);
        submitAndAwait("first document", document("document-1.json", NO_ROLLOUTS, "safety"));
        try (LoadGenerator load =
                LoadGenerator.start(
                        mesh.callerAddresses(), mesh.nonIdempotentCalls(), CALLS_PER_SECOND)) {
            rollOut();
            killLeader();
            load.finish();
            CallReport.addTo(table, load.tally(), mesh.runCounts());
        }
        long memory = maxNodeMemory();
        table.check(
                "node memory under load, largest (MiB)",
                memory / MEBIBYTE,
                "under 256",
                memory < MAX_NODE_MEMORY_BYTES);
        table.add("control bytes of a node, most", maxControlBytes());
        return table;
    }

    private Path document(String name, Set<String> moving, String priority) throws IOException {
        return mesh.files().document(name, moving, priority);
    }

    private void submitAndAwait(String name, Path document)
            throws IOException, InterruptedException {
        long begun = System.nanoTime();
        SubmissionResult submission =
                mesh.client()
                        .submit(
                                mesh.runningControl().operatorAddress(),
                                Files.readString(document),
                                documentVersion,
                                UUID.randomUUID().toString());
        TrialFailedException.require(
                submission.isAccepted(), "acceptance of the " + name + ": " + submission.body());
        documentVersion = submission.version();
        boolean everywhere =
                RunningMesh.await(
                        CONVERGENCE_TIMEOUT, () -> mesh.lowestNodeVersion() >= documentVersion);
        table.check(
                name + " in force everywhere (ms)", millisSince(begun), "under 8000", everywhere);
    }

    private void rollOut() throws IOException, InterruptedException {
        System.out.println("rolling out a good version of verksted and a bad one of order-app");
        submitAndAwait("rollouts", document("document-2.json", ROLLING_OUT, "safety"));
        long begun = System.nanoTime();
        awaitVerdict("verksted");
        checkRolloutPhase("good version of verksted", "verksted", "DONE");
        table.add("good version done after (ms)", millisSince(begun));
        awaitVerdict("order-app");
        checkRolloutPhase("bad version of order-app", "order-app", "TAKEN_BACK");
    }

    private void awaitVerdict(String service) throws InterruptedException {
        RunningMesh.await(ROLLOUT_TIMEOUT, () -> !mesh.rolloutPhase(service).equals("MOVING"));
    }

    private void checkRolloutPhase(String figure, String service, String promised) {
        String phase = mesh.rolloutPhase(service);
        table.check(figure, phase, promised, phase.equals(promised));
    }

    private void killLeader() throws IOException, InterruptedException {
        Optional<String> leader = mesh.leader();
        TrialFailedException.require(leader.isPresent(), "finding a leader to kill");
        System.out.println("killing the leader, " + leader.get());
        long begun = System.nanoTime();
        mesh.processes().kill(leader.get());
        boolean elected =
                RunningMesh.await(
                        ELECTION_TIMEOUT,
                        () -> mesh.leader().filter(next -> !next.equals(leader.get())).isPresent());
        table.check("new leader after a kill (ms)", millisSince(begun), "under 8000", elected);
        submitAndAwait(
                "document after the kill", document("document-3.json", ROLLING_OUT, "punctuality"));
        checkRolloutPhase("bad version after the kill", "order-app", "TAKEN_BACK");
    }

    private long maxControlBytes() {
        return mesh.plan().targets().stream()
                .map(target -> mesh.client().json(target.administrationAddress(), "/status"))
                .mapToLong(
                        status ->
                                status.path("controlSentBytes").longValue()
                                        + status.path("controlReceivedBytes").longValue())
                .max()
                .orElse(0);
    }

    private long maxNodeMemory() throws IOException {
        List<String> names = mesh.plan().targets().stream().map(MeshPlan.Target::name).toList();
        return mesh.processes().residentBytes(names).stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
    }

    private static long millisSince(long begunNanos) {
        return (System.nanoTime() - begunNanos) / NANOS_PER_MILLI;
    }
}
