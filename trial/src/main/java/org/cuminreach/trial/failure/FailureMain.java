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

/** Entry point of the trial of failures that come together. */
public final class FailureMain implements MeshTrial {
    private static final int DEFAULT_FIRST_PORT = 21_200;
    private static final int CONTROLS = 5;
    private static final int SLOTS = 9;
    private static final int SERVICE_MILLIS = 4;
    private static final int NO_FAILURES = 0;
    private static final int BAD_VERSION_FAILURES_PER_MILLE = 300;

    private FailureMain() {}

    /**
     * Runs the trial and exits with 0 only if every promise held.
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
        return "Bring about several failures at once on separate processes and check what holds";
    }

    @Override
    public int defaultFirstPort() {
        return DEFAULT_FIRST_PORT;
    }

    @Override
    public void declareOptions(OptionParser parser) {
        // The order of the failures is fixed.
    }

    @Override
    public ResultTable run(TrialCommand.Environment setting, OptionSet options, PrintStream out)
            throws IOException, InterruptedException {
        MeshPlan plan = plan(setting.firstPort());
        try (ControlNetwork network = ControlNetwork.start(plan)) {
            RunningMesh mesh =
                    RunningMesh.start(
                            plan,
                            MeshFiles.withControlAddresses(
                                    setting.folder(), plan, network::address),
                            setting.processes(),
                            setting.client());
            return new CombinedFailures(mesh, network, setting.folder()).run();
        }
    }

    private static MeshPlan plan(int firstPort) {
        MeshPlan plan = MeshPlan.empty(firstPort);
        List<String> places = List.of("nidaros", "lade", "heimdal");
        for (int index = 0; index < CONTROLS; index++) {
            plan.addControl("control-" + (index + 1), places.get(index % places.size()));
        }
        for (String place : places) {
            plan.addTarget(
                    place,
                    CombinedFailures.ROLLOUT_SERVICE,
                    "1",
                    SLOTS,
                    SERVICE_MILLIS,
                    NO_FAILURES);
            plan.addTarget(place, "arkiv", "1", SLOTS, SERVICE_MILLIS, NO_FAILURES);
        }
        for (String place : places.subList(0, 2)) {
            plan.addTarget(
                    place,
                    CombinedFailures.ROLLOUT_SERVICE,
                    "2",
                    SLOTS,
                    SERVICE_MILLIS,
                    BAD_VERSION_FAILURES_PER_MILLE);
        }
        return plan;
    }
}
