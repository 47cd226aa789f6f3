package org.cuminreach.trial.failure;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import org.cuminreach.trial.load.LoadGenerator;
import org.cuminreach.trial.mesh.CallReport;
import org.cuminreach.trial.mesh.MeshPlan;
import org.cuminreach.trial.mesh.ResultTable;
import org.cuminreach.trial.mesh.RunningMesh;
import org.cuminreach.trial.mesh.SubmissionResult;
import org.cuminreach.trial.mesh.TrialFailedException;

/**
 * Injects several failures at once: the leader is killed while another control is isolated without
 * its connections being closed, half of the nodes are killed and restarted, operators submit
 * conflicting documents, and a rollout of a bad version is in progress.
 */
final class CombinedFailures {
    static final String ROLLOUT_SERVICE = "verksted";

    private static final int CALLS_PER_SECOND = 200;
    private static final int SETTLING_MILLIS = 3_000;
    private static final int PARTITION_MILLIS = 10_000;
    private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration VERDICT_TIMEOUT = Duration.ofSeconds(60);

    private final RunningMesh mesh;
    private final ControlNetwork network;
    private final Path folder;
    private final ResultTable table = ResultTable.empty();

    CombinedFailures(RunningMesh mesh, ControlNetwork network, Path folder) {
        this.mesh = mesh;
        this.network = network;
        this.folder = folder;
    }

    ResultTable run() throws IOException, InterruptedException {
        String document =
                Files.readString(
                        mesh.files().document("moving.json", Set.of(ROLLOUT_SERVICE), "safety"));
        SubmissionResult first =
                mesh.client()
                        .submit(
                                mesh.runningControl().operatorAddress(),
                                document,
                                0,
                                UUID.randomUUID().toString());
        TrialFailedException.require(first.isAccepted(), "first document: " + first.body());
        try (LoadGenerator load =
                LoadGenerator.start(
                        mesh.callerAddresses(), mesh.nonIdempotentCalls(), CALLS_PER_SECOND)) {
            Thread.sleep(SETTLING_MILLIS);
            ConcurrentOperators operators =
                    ConcurrentOperators.start(
                            mesh.client(),
                            mesh.plan().controls(),
                            basedOn -> document + "// made from " + basedOn + "\n");
            injectFailures();
            List<ConcurrentOperators.CompletedSubmission> submissions = operators.finish();
            awaitVerdict();
            load.finish();
            checkSubmissions(submissions);
            checkNodes();
            CallReport.addTo(table, load.statistics(), mesh.runCounts());
        }
        return table;
    }

    private void injectFailures() throws IOException, InterruptedException {
        String leader = mesh.leader().orElseThrow();
        MeshPlan.Control isolated = controlOtherThan(leader);
        System.out.println("isolating " + isolated.name() + ": its traffic is dropped");
        network.isolate(isolated.name());
        System.out.println("killing the leader, " + leader);
        mesh.processes().kill(leader);
        List<MeshPlan.Target> targets = mesh.plan().targets();
        System.out.println("killing " + targets.size() / 2 + " nodes and restarting them");
        for (MeshPlan.Target target : targets.subList(0, targets.size() / 2)) {
            mesh.processes().kill(target.name());
        }
        for (MeshPlan.Target target : targets.subList(0, targets.size() / 2)) {
            mesh.startNode(target);
        }
        Thread.sleep(PARTITION_MILLIS);
        checkIsolatedControl(isolated);
        System.out.println("healing the partition and restarting the killed control");
        network.heal();
        mesh.startControl(controlNamed(leader));
        Thread.sleep(SETTLING_MILLIS);
    }

    private MeshPlan.Control controlOtherThan(String leader) {
        return mesh.plan().controls().stream()
                .filter(control -> !control.name().equals(leader))
                .findFirst()
                .orElseThrow();
    }

    private MeshPlan.Control controlNamed(String name) {
        return mesh.plan().controls().stream()
                .filter(control -> control.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private void checkIsolatedControl(MeshPlan.Control isolated) {
        JsonNode status = mesh.client().json(isolated.operatorAddress(), "/status");
        table.check(
                "isolated control reports that it has no quorum",
                !status.path("hasQuorum").booleanValue(),
                "true",
                !status.path("hasQuorum").booleanValue());
        table.checkZero(
                "nodes connected to the isolated control", status.path("sessions").longValue());
    }

    private void awaitVerdict() throws InterruptedException {
        RunningMesh.await(
                VERDICT_TIMEOUT, () -> !mesh.rolloutPhase(ROLLOUT_SERVICE).equals("MOVING"));
        String phase = mesh.rolloutPhase(ROLLOUT_SERVICE);
        table.check("bad version", phase, "TAKEN_BACK", phase.equals("TAKEN_BACK"));
    }

    private void checkSubmissions(List<ConcurrentOperators.CompletedSubmission> submissions) {
        Map<Long, Integer> acceptedByBaseVersion = new HashMap<>();
        Set<Long> accepted = new HashSet<>();
        for (ConcurrentOperators.CompletedSubmission submission : submissions) {
            if (submission.result().isAccepted()) {
                acceptedByBaseVersion.merge(submission.basedOn(), 1, Integer::sum);
                accepted.add(submission.result().version());
            }
        }
        table.add("submissions with a known outcome", submissions.size());
        table.add("submissions accepted", accepted.size());
        table.checkZero(
                "base versions with two accepted submissions",
                acceptedByBaseVersion.values().stream().filter(count -> count > 1).count());
        for (MeshPlan.Control control : mesh.plan().controls()) {
            Set<Long> missing = new HashSet<>(accepted);
            for (JsonNode entry :
                    mesh.client().json(control.operatorAddress(), "/history").path("history")) {
                missing.remove(entry.path("version").longValue());
            }
            table.checkZero("accepted submissions missing at " + control.name(), missing.size());
        }
    }

    private void checkNodes() throws IOException, InterruptedException {
        boolean applied =
                RunningMesh.await(
                        CONVERGENCE_TIMEOUT,
                        () ->
                                mesh.lowestNodeVersion()
                                        >= mesh.status().path("version").longValue());
        table.check("last version applied on all nodes", applied, "true", applied);
        long versionRegressions = 0;
        long refused = 0;
        for (MeshPlan.Target target : mesh.plan().targets()) {
            NodeConfigurationLog log =
                    NodeConfigurationLog.read(folder.resolve(target.name() + ".log"));
            versionRegressions += log.versionRegressions();
            refused += log.refused();
        }
        table.checkZero("changes of a node to an older version", versionRegressions);
        table.checkZero("configurations refused by a node", refused);
    }
}
