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

/** The steps of the demonstration and the checks of their results. */
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
        table.add("maximum memory of an idle node (MiB)", maxNodeMemory() / MEBIBYTE);
        submitAndAwait("first document", document("document-1.json", NO_ROLLOUTS, "safety"));
        try (LoadGenerator load =
                LoadGenerator.start(
                        mesh.callerAddresses(), mesh.nonIdempotentCalls(), CALLS_PER_SECOND)) {
            rollOut();
            killLeader();
            load.finish();
            CallReport.addTo(table, load.statistics(), mesh.runCounts());
        }
        long memory = maxNodeMemory();
        table.check(
                "maximum node memory under load (MiB)",
                memory / MEBIBYTE,
                "under 256",
                memory < MAX_NODE_MEMORY_BYTES);
        table.add("maximum bytes between a node and its control", maxControlBytes());
        return table;
    }

    private Path document(String name, Set<String> rollingOut, String priority) throws IOException {
        return mesh.files().document(name, rollingOut, priority);
    }

    private void submitAndAwait(String name, Path document)
            throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
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
        boolean applied =
                RunningMesh.await(
                        CONVERGENCE_TIMEOUT, () -> mesh.lowestNodeVersion() >= documentVersion);
        table.check(
                name + " applied on all nodes (ms)",
                millisSince(startNanos),
                "under 8000",
                applied);
    }

    private void rollOut() throws IOException, InterruptedException {
        System.out.println("rolling out a good version of verksted and a bad one of order-app");
        submitAndAwait("rollouts", document("document-2.json", ROLLING_OUT, "safety"));
        long startNanos = System.nanoTime();
        awaitVerdict("verksted");
        checkRolloutPhase("good version of verksted", "verksted", "DONE");
        table.add("time until good version is done (ms)", millisSince(startNanos));
        awaitVerdict("order-app");
        checkRolloutPhase("bad version of order-app", "order-app", "TAKEN_BACK");
    }

    private void awaitVerdict(String service) throws InterruptedException {
        RunningMesh.await(ROLLOUT_TIMEOUT, () -> !mesh.rolloutPhase(service).equals("MOVING"));
    }

    private void checkRolloutPhase(String figure, String service, String required) {
        String phase = mesh.rolloutPhase(service);
        table.check(figure, phase, required, phase.equals(required));
    }

    private void killLeader() throws IOException, InterruptedException {
        Optional<String> leader = mesh.leader();
        TrialFailedException.require(leader.isPresent(), "search for a leader to kill");
        System.out.println("killing the leader, " + leader.get());
        long startNanos = System.nanoTime();
        mesh.processes().kill(leader.get());
        boolean elected =
                RunningMesh.await(
                        ELECTION_TIMEOUT,
                        () -> mesh.leader().filter(next -> !next.equals(leader.get())).isPresent());
        table.check(
                "election of a new leader (ms)", millisSince(startNanos), "under 8000", elected);
        submitAndAwait(
                "document after kill", document("document-3.json", ROLLING_OUT, "punctuality"));
        checkRolloutPhase("bad version after leader kill", "order-app", "TAKEN_BACK");
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

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
}
