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
import org.cuminreach.trial.mesh.PromiseTable;
import org.cuminreach.trial.mesh.RunningMesh;
import org.cuminreach.trial.mesh.Submission;
import org.cuminreach.trial.mesh.TrialFailedException;

/** The course of the demonstration. */
final class Demo {
    private static final int CALLS_PER_SECOND = 400;
    private static final Duration CONVERGENCE_LIMIT = Duration.ofSeconds(8);
    private static final Duration ROLLOUT_LIMIT = Duration.ofSeconds(45);
    private static final Duration ELECTION_LIMIT = Duration.ofSeconds(8);
    private static final Set<String> NONE_MOVING = Set.of();
    private static final Set<String> MOVING = Set.of("verksted", "order-app");
    private static final long NODE_MEMORY_BYTES = 256L * 1024 * 1024;
    private static final long MEBIBYTE = 1024L * 1024;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RunningMesh mesh;
    private final PromiseTable table = PromiseTable.empty();
    private long documentVersion;

    Demo(RunningMesh mesh) {
        this.mesh = mesh;
    }

    PromiseTable run() throws IOException, InterruptedException {
        table.add("idle node memory, largest (MiB)", largestNodeMemory() / MEBIBYTE);
        converge("first document", document("document-1.json", NONE_MOVING, "safety"));
        try (LoadGenerator load =
                LoadGenerator.start(mesh.callerAddresses(), mesh.orders(), CALLS_PER_SECOND)) {
            rollOut();
            killLeader();
            load.finish();
            CallReport.addTo(table, load.statistics(), mesh.runs());
        }
        long memory = largestNodeMemory();
        table.promise(
                "node memory under load, largest (MiB)",
                memory / MEBIBYTE,
                "under 256",
                memory < NODE_MEMORY_BYTES);
        table.add("control bytes of a node, most", mostControlBytes());
        return table;
    }

    private Path document(String name, Set<String> moving, String priority) throws IOException {
        return mesh.files().document(name, moving, priority);
    }

    private void converge(String name, Path document) throws IOException, InterruptedException {
        long begun = System.nanoTime();
        Submission submission =
                mesh.client()
                        .submit(
                                mesh.livingControl().operator(),
                                Files.readString(document),
                                documentVersion,
                                UUID.randomUUID().toString());
        TrialFailedException.require(
                submission.accepted(), "acceptance of the " + name + ": " + submission.body());
        documentVersion = submission.version();
        boolean everywhere =
                RunningMesh.await(CONVERGENCE_LIMIT, () -> mesh.lowestVersion() >= documentVersion);
        table.promise(
                name + " in force everywhere (ms)", millisSince(begun), "under 8000", everywhere);
    }

    private void rollOut() throws IOException, InterruptedException {
        System.out.println("rolling out a good version of verksted and a bad one of order-app");
        converge("rollouts", document("document-2.json", MOVING, "safety"));
        long begun = System.nanoTime();
        awaitVerdict("verksted");
        promisePhase("good version of verksted", "verksted", "DONE");
        table.add("good version done after (ms)", millisSince(begun));
        awaitVerdict("order-app");
        promisePhase("bad version of order-app", "order-app", "TAKEN_BACK");
    }

    private void awaitVerdict(String service) throws InterruptedException {
        RunningMesh.await(ROLLOUT_LIMIT, () -> !mesh.phase(service).equals("MOVING"));
    }

    private void promisePhase(String figure, String service, String promised) {
        String phase = mesh.phase(service);
        table.promise(figure, phase, promised, phase.equals(promised));
    }

    private void killLeader() throws IOException, InterruptedException {
        Optional<String> leader = mesh.leader();
        TrialFailedException.require(leader.isPresent(), "finding a leader to kill");
        System.out.println("killing the leader, " + leader.get());
        long begun = System.nanoTime();
        mesh.processes().kill(leader.get());
        boolean elected =
                RunningMesh.await(
                        ELECTION_LIMIT,
                        () -> mesh.leader().filter(next -> !next.equals(leader.get())).isPresent());
        table.promise("new leader after a kill (ms)", millisSince(begun), "under 8000", elected);
        converge("document after the kill", document("document-3.json", MOVING, "punctuality"));
        promisePhase("bad version after the kill", "order-app", "TAKEN_BACK");
    }

    private long mostControlBytes() {
        return mesh.plan().targets().stream()
                .map(target -> mesh.client().json(target.administration(), "/status"))
                .mapToLong(
                        status ->
                                status.path("controlSentBytes").longValue()
                                        + status.path("controlReceivedBytes").longValue())
                .max()
                .orElse(0);
    }

    private long largestNodeMemory() throws IOException {
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
