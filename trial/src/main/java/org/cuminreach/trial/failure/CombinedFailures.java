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
 * Several failures at once: the leader is killed while another control is silently cut off, nodes
 * are killed in a herd and come back, operators race, and a bad version is moving.
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
            CallReport.addTo(table, load.tally(), mesh.runCounts());
        }
        return table;
    }

    private void injectFailures() throws IOException, InterruptedException {
        String leader = mesh.leader().orElseThrow();
        MeshPlan.Control cutOff = controlOtherThan(leader);
        System.out.println("cutting off " + cutOff.name() + " silently");
        network.isolate(cutOff.name());
        System.out.println("killing the leader, " + leader);
        mesh.processes().kill(leader);
        List<MeshPlan.Target> herd = mesh.plan().targets();
        System.out.println("killing " + herd.size() / 2 + " nodes and starting them again");
        for (MeshPlan.Target target : herd.subList(0, herd.size() / 2)) {
            mesh.processes().kill(target.name());
        }
        for (MeshPlan.Target target : herd.subList(0, herd.size() / 2)) {
            mesh.startNode(target);
        }
        Thread.sleep(PARTITION_MILLIS);
        checkIsolatedControl(cutOff);
        System.out.println("healing the cut and starting the killed control again");
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

    private void checkIsolatedControl(MeshPlan.Control cutOff) {
        JsonNode status = mesh.client().json(cutOff.operatorAddress(), "/status");
        table.check(
                "cut-off control says that it has no quorum",
                !status.path("hasQuorum").booleanValue(),
                "true",
                !status.path("hasQuorum").booleanValue());
        table.checkZero("nodes left at the cut-off control", status.path("sessions").longValue());
    }

    private void awaitVerdict() throws InterruptedException {
        RunningMesh.await(
                VERDICT_TIMEOUT, () -> !mesh.rolloutPhase(ROLLOUT_SERVICE).equals("MOVING"));
        String phase = mesh.rolloutPhase(ROLLOUT_SERVICE);
        table.check("bad version", phase, "TAKEN_BACK", phase.equals("TAKEN_BACK"));
    }

    private void checkSubmissions(List<ConcurrentOperators.CompletedSubmission> submissions) {
        Map<Long, Integer> acceptedFrom = new HashMap<>();
        Set<Long> accepted = new HashSet<>();
        for (ConcurrentOperators.CompletedSubmission settled : submissions) {
            if (settled.result().isAccepted()) {
                acceptedFrom.merge(settled.basedOn(), 1, Integer::sum);
                accepted.add(settled.result().version());
            }
        }
        table.add("submissions settled", submissions.size());
        table.add("submissions accepted", accepted.size());
        table.checkZero(
                "two accepted from the same version",
                acceptedFrom.values().stream().filter(count -> count > 1).count());
        for (MeshPlan.Control control : mesh.plan().controls()) {
            Set<Long> missing = new HashSet<>(accepted);
            for (JsonNode entry :
                    mesh.client().json(control.operatorAddress(), "/history").path("history")) {
                missing.remove(entry.path("version").longValue());
            }
            table.checkZero("accepted but lost at " + control.name(), missing.size());
        }
    }

    private void checkNodes() throws IOException, InterruptedException {
        boolean everywhere =
                RunningMesh.await(
                        CONVERGENCE_TIMEOUT,
                        () ->
                                mesh.lowestNodeVersion()
                                        >= mesh.status().path("version").longValue());
        table.check("last version in force everywhere", everywhere, "true", everywhere);
        long stepsBack = 0;
        long refused = 0;
        for (MeshPlan.Target target : mesh.plan().targets()) {
            NodeConfigurationLog history =
                    NodeConfigurationLog.read(folder.resolve(target.name() + ".log"));
            stepsBack += history.versionRegressions();
            refused += history.refused();
        }
        table.checkZero("nodes that went back to an older version", stepsBack);
        table.checkZero("configurations with a dangling route", refused);
    }
}
