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
final class ComposedFailure {
    static final String MOVING_SERVICE = "verksted";

    private static final int CALLS_PER_SECOND = 200;
    private static final int SETTLE_MILLIS = 3_000;
    private static final int CUT_MILLIS = 10_000;
    private static final Duration CONVERGENCE_LIMIT = Duration.ofSeconds(30);
    private static final Duration VERDICT_LIMIT = Duration.ofSeconds(60);

    private final RunningMesh mesh;
    private final ControlNetwork network;
    private final Path folder;
    private final ResultTable table = ResultTable.empty();

    ComposedFailure(RunningMesh mesh, ControlNetwork network, Path folder) {
        this.mesh = mesh;
        this.network = network;
        this.folder = folder;
    }

    ResultTable run() throws IOException, InterruptedException {
        String document =
                Files.readString(
                        mesh.files().document("moving.json", Set.of(MOVING_SERVICE), "safety"));
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
            Thread.sleep(SETTLE_MILLIS);
            RacingOperators operators =
                    RacingOperators.start(
                            mesh.client(),
                            mesh.plan().controls(),
                            basedOn -> document + "// made from " + basedOn + "\n");
            failTogether();
            List<RacingOperators.Settled> submissions = operators.finish();
            awaitVerdict();
            load.finish();
            checkSubmissions(submissions);
            checkNodes();
            CallReport.addTo(table, load.tally(), mesh.runCounts());
        }
        return table;
    }

    private void failTogether() throws IOException, InterruptedException {
        String leader = mesh.leader().orElseThrow();
        MeshPlan.Control cutOff = another(leader);
        System.out.println("cutting off " + cutOff.name() + " silently");
        network.cutOff(cutOff.name());
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
        Thread.sleep(CUT_MILLIS);
        checkCutOff(cutOff);
        System.out.println("healing the cut and starting the killed control again");
        network.heal();
        mesh.startControl(control(leader));
        Thread.sleep(SETTLE_MILLIS);
    }

    private MeshPlan.Control another(String leader) {
        return mesh.plan().controls().stream()
                .filter(control -> !control.name().equals(leader))
                .findFirst()
                .orElseThrow();
    }

    private MeshPlan.Control control(String name) {
        return mesh.plan().controls().stream()
                .filter(control -> control.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private void checkCutOff(MeshPlan.Control cutOff) {
        JsonNode status = mesh.client().json(cutOff.operatorAddress(), "/status");
        table.check(
                "cut-off control says that it has no quorum",
                !status.path("hasQuorum").booleanValue(),
                "true",
                !status.path("hasQuorum").booleanValue());
        table.checkZero("nodes left at the cut-off control", status.path("sessions").longValue());
    }

    private void awaitVerdict() throws InterruptedException {
        RunningMesh.await(VERDICT_LIMIT, () -> !mesh.rolloutPhase(MOVING_SERVICE).equals("MOVING"));
        String phase = mesh.rolloutPhase(MOVING_SERVICE);
        table.check("bad version", phase, "TAKEN_BACK", phase.equals("TAKEN_BACK"));
    }

    private void checkSubmissions(List<RacingOperators.Settled> submissions) {
        Map<Long, Integer> acceptedFrom = new HashMap<>();
        Set<Long> accepted = new HashSet<>();
        for (RacingOperators.Settled settled : submissions) {
            if (settled.submission().isAccepted()) {
                acceptedFrom.merge(settled.basedOn(), 1, Integer::sum);
                accepted.add(settled.submission().version());
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
                        CONVERGENCE_LIMIT,
                        () ->
                                mesh.lowestNodeVersion()
                                        >= mesh.status().path("version").longValue());
        table.check("last version in force everywhere", everywhere, "true", everywhere);
        long stepsBack = 0;
        long refused = 0;
        for (MeshPlan.Target target : mesh.plan().targets()) {
            NodeHistory history = NodeHistory.read(folder.resolve(target.name() + ".log"));
            stepsBack += history.stepsBack();
            refused += history.refused();
        }
        table.checkZero("nodes that went back to an older version", stepsBack);
        table.checkZero("configurations with a dangling route", refused);
    }
}
