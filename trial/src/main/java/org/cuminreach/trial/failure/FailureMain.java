package org.cuminreach.trial.failure;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.runtime.launch.Launcher;
import org.cuminreach.trial.mesh.MeshFiles;
import org.cuminreach.trial.mesh.MeshPlan;
import org.cuminreach.trial.mesh.MeshTrial;
import org.cuminreach.trial.mesh.ResultTable;
import org.cuminreach.trial.mesh.RunningMesh;
import org.cuminreach.trial.mesh.TrialCommand;

/** Entry point of the trial of simultaneous failures. */
public final class FailureMain implements MeshTrial {
    private static final int DEFAULT_FIRST_PORT = 21_200;
    private static final int CONTROLS = 5;
    private static final int SLOTS = 9;
    private static final int SERVICE_MILLIS = 4;
    private static final int NO_FAILURES = 0;
    private static final int BAD_VERSION_FAILURES_PER_MILLE = 300;

    private FailureMain() {}

    /**
     * Runs the trial and exits with 0 only if every requirement was met.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        Launcher launcher = TrialCommand.launcher(new FailureMain());
        System.exit(
                launcher.run(
                        TrialCommand.withCommandName("fail", arguments), System.out, System.err));
    }

    @Override
    public String name() {
        return "fail";
    }

    @Override
    public String summary() {
        return "Inject several failures at once into a mesh of processes and check the results";
    }

    @Override
    public int defaultFirstPort() {
        return DEFAULT_FIRST_PORT;
    }

    @Override
    public void declareOptions(OptionParser parser) {
        // None: the order of the failures is fixed.
    }

    @Override
    public ResultTable run(TrialCommand.Environment environment, OptionSet options, PrintStream out)
            throws IOException, InterruptedException {
        MeshPlan plan = plan(environment.firstPort());
        try (ControlNetwork network = ControlNetwork.start(plan)) {
            RunningMesh mesh =
                    RunningMesh.start(
                            plan,
                            MeshFiles.withControlAddresses(
                                    environment.folder(), plan, network::address),
                            environment.processes(),
                            environment.client());
            return new CombinedFailures(mesh, network, environment.folder()).run();
        }
    }

    private static MeshPlan plan(int firstPort) {
        MeshPlan plan = MeshPlan.empty(firstPort);
        List<String> dataCentres = List.of("nidaros", "lade", "heimdal");
        for (int index = 0; index < CONTROLS; index++) {
            plan.addControl("control-" + (index + 1), dataCentres.get(index % dataCentres.size()));
        }
        for (String dataCentre : dataCentres) {
            plan.addTarget(
                    dataCentre,
                    CombinedFailures.ROLLOUT_SERVICE,
                    "1",
                    SLOTS,
                    SERVICE_MILLIS,
                    NO_FAILURES);
            plan.addTarget(dataCentre, "arkiv", "1", SLOTS, SERVICE_MILLIS, NO_FAILURES);
        }
        for (String dataCentre : dataCentres.subList(0, 2)) {
            plan.addTarget(
                    dataCentre,
                    CombinedFailures.ROLLOUT_SERVICE,
                    "2",
                    SLOTS,
                    SERVICE_MILLIS,
                    BAD_VERSION_FAILURES_PER_MILLE);
        }
        return plan;
    }
}
