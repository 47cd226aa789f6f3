package org.cuminreach.trial.demo;

import java.io.IOException;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.runtime.launch.Launcher;
import org.cuminreach.trial.mesh.MeshFiles;
import org.cuminreach.trial.mesh.MeshTrial;
import org.cuminreach.trial.mesh.ResultTable;
import org.cuminreach.trial.mesh.RunningMesh;
import org.cuminreach.trial.mesh.TrialCommand;

/** Entry point of the demonstration. */
public final class DemoMain implements MeshTrial {
    private static final String KEEP = "keep";
    private static final int DEFAULT_FIRST_PORT = 21_000;

    private DemoMain() {}

    /**
     * Runs the demonstration and exits with 0 only if every requirement was met.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        Launcher launcher = TrialCommand.launcher(new DemoMain());
        System.exit(
                launcher.run(
                        TrialCommand.withCommandName("demo", arguments), System.out, System.err));
    }

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "Run small meshes of both organisations as separate processes on loopback";
    }

    @Override
    public int defaultFirstPort() {
        return DEFAULT_FIRST_PORT;
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(KEEP, "Keep the mesh running until Enter is pressed");
    }

    @Override
    public ResultTable run(TrialCommand.Environment environment, OptionSet options, PrintStream out)
            throws IOException, InterruptedException {
        var plan = DemoMesh.plan(environment.firstPort());
        out.printf(
                "starting %d controls, %d nodes and the stand-in targets%n",
                plan.controls().size(), plan.targets().size());
        RunningMesh mesh =
                RunningMesh.start(
                        plan,
                        MeshFiles.of(environment.folder(), plan),
                        environment.processes(),
                        environment.client());
        ResultTable table = new Demo(mesh).run();
        if (options.has(KEEP)) {
            table.print(out);
            waitForEnter(mesh, out);
        }
        return table;
    }

    private static void waitForEnter(RunningMesh mesh, PrintStream out) throws IOException {
        out.println("console: http://" + mesh.runningControl().operatorAddress() + "/");
        out.printf(
                "try: curl -i -H 'Host: arkiv.example' http://%s/%n",
                mesh.callerAddresses().getFirst());
        out.println("press Enter to stop");
        int read = System.in.read();
        out.println(read < 0 ? "stopping: end of input" : "stopping");
    }
}
