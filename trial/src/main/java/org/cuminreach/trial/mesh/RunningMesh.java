package org.cuminreach.trial.mesh;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.cuminreach.settings.Address;
import org.cuminreach.trial.load.LoadGenerator;

/** A running mesh of separate processes and the status that its controls report. */
public final class RunningMesh {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final long POLL_MILLIS = 20;

    private final MeshPlan plan;
    private final MeshFiles files;
    private final MeshProcesses processes;
    private final MeshClient client;

    private RunningMesh(
            MeshPlan plan, MeshFiles files, MeshProcesses processes, MeshClient client) {
        this.plan = plan;
        this.files = files;
        this.processes = processes;
        this.client = client;
    }

    /**
     * Starts every process of a plan and waits until the control reports each target as ready.
     *
     * @param plan controls and targets to start
     * @param files writes the settings of the processes
     * @param processes starts and stops the processes
     * @param client sends HTTP requests to the processes
     * @return the running mesh
     * @throws IOException if a process cannot be started
     * @throws InterruptedException if interrupted while waiting
     * @throws TrialFailedException if the mesh does not start in time
     */
    public static RunningMesh start(
            MeshPlan plan, MeshFiles files, MeshProcesses processes, MeshClient client)
            throws IOException, InterruptedException {
        RunningMesh mesh = new RunningMesh(plan, files, processes, client);
        mesh.startControls();
        for (String service : plan.services()) {
            processes.startStandIns("stand-in-" + service, files.standIns(service));
        }
        for (MeshPlan.Target target : plan.targets()) {
            mesh.startNode(target);
        }
        boolean started = await(START_TIMEOUT, () -> mesh.readyTargets() == plan.targets().size());
        TrialFailedException.require(started, "start of all processes");
        TrialFailedException.require(mesh.leader().isPresent(), "election of a leader");
        return mesh;
    }

    /**
     * Waits for a condition.
     *
     * @param timeout maximum time to wait
     * @param condition the condition
     * @return false if the condition did not hold in time
     * @throws InterruptedException if interrupted while waiting
     */
    public static boolean await(Duration timeout, BooleanSupplier condition)
            throws InterruptedException {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (System.nanoTime() < deadline) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Thread.sleep(POLL_MILLIS);
        }
        return false;
    }

    /**
     * Starts a control whose data folder is initialised.
     *
     * @param control the control
     * @throws IOException if it cannot be started
     */
    public void startControl(MeshPlan.Control control) throws IOException {
        processes.startBinary(
                control.name(), "cuminreach-control", "serve", files.control(control));
    }

    /**
     * Starts a node.
     *
     * @param target the target next to the node
     * @throws IOException if it cannot be started
     */
    public void startNode(MeshPlan.Target target) throws IOException {
        processes.startBinary(target.name(), "cuminreach-node", "serve", files.node(target));
    }

    /**
     * Returns the plan of the mesh.
     *
     * @return the plan
     */
    public MeshPlan plan() {
        return plan;
    }

    /**
     * Returns the writer of settings and documents.
     *
     * @return the files
     */
    public MeshFiles files() {
        return files;
    }

    /**
     * Returns the processes.
     *
     * @return the processes
     */
    public MeshProcesses processes() {
        return processes;
    }

    /**
     * Returns the client.
     *
     * @return the client
     */
    public MeshClient client() {
        return client;
    }

    /**
     * Returns the first control that was started and not killed.
     *
     * @return the control
     */
    public MeshPlan.Control runningControl() {
        return plan.controls().stream()
                .filter(control -> processes.isRunning(control.name()))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Returns the status that a running control reports.
     *
     * @return its status, or a missing node if there was no answer
     */
    public JsonNode status() {
        return client.json(runningControl().operatorAddress(), "/status");
    }

    /**
     * Returns the leader that a running control reports.
     *
     * @return its identity, if any
     */
    public Optional<String> leader() {
        return Optional.of(status().path("leader").asText()).filter(name -> !name.isEmpty());
    }

    /**
     * Returns how many targets are ready.
     *
     * @return a count
     */
    public int readyTargets() {
        int ready = 0;
        for (JsonNode target : status().path("targets")) {
            ready += target.path("phase").asText().equals("READY") ? 1 : 0;
        }
        return ready;
    }

    /**
     * Returns the lowest configuration version that the nodes report.
     *
     * @return the version, or 0 while a node has not reported
     */
    public long lowestNodeVersion() {
        OptionalLong lowest = OptionalLong.empty();
        int nodes = 0;
        for (JsonNode node : status().path("nodes")) {
            long version = node.path("version").longValue();
            lowest = OptionalLong.of(Math.min(lowest.orElse(version), version));
            nodes++;
        }
        return nodes < plan.targets().size() ? 0 : lowest.orElse(0);
    }

    /**
     * Returns the phase of a service's rollout.
     *
     * @param service name of the service
     * @return the phase, or {@code none}
     */
    public String rolloutPhase(String service) {
        for (JsonNode rollout : status().path("rollouts")) {
            if (rollout.path("service").asText().equals(service)) {
                return rollout.path("phase").asText();
            }
        }
        return "none";
    }

    /**
     * Returns the caller addresses of all nodes.
     *
     * @return the addresses
     */
    public List<Address> callerAddresses() {
        return plan.targets().stream().map(MeshPlan.Target::callerAddress).toList();
    }

    /**
     * Returns one kind of non-idempotent call for each service.
     *
     * @return the kinds
     */
    public List<LoadGenerator.RequestTemplate> nonIdempotentCalls() {
        return plan.services().stream()
                .map(
                        service ->
                                new LoadGenerator.RequestTemplate(
                                        "POST", service + ".example", "/"))
                .toList();
    }

    /**
     * Returns how often the stand-ins ran each numbered call.
     *
     * @return number of runs by call number
     */
    public Map<String, Integer> runCounts() {
        Map<String, Integer> runs = new HashMap<>();
        for (String service : plan.services()) {
            Address targetAddress =
                    plan.targets().stream()
                            .filter(target -> target.service().equals(service))
                            .findFirst()
                            .orElseThrow()
                            .targetAddress();
            client.text(targetAddress, "/trial/runs")
                    .orElse("")
                    .lines()
                    .map(line -> line.split(" "))
                    .forEach(
                            parts ->
                                    runs.merge(parts[0], Integer.parseInt(parts[1]), Integer::sum));
        }
        return runs;
    }

    private void startControls() throws IOException, InterruptedException {
        for (MeshPlan.Control control : plan.controls()) {
            Path settings = files.control(control);
            String name = "initialise-" + control.name();
            processes.startBinary(name, "cuminreach-control", "initialise", settings);
            TrialFailedException.require(
                    processes.awaitExit(name) == 0, "initialise " + control.name());
            startControl(control);
        }
    }
}
