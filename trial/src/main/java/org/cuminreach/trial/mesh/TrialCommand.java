package org.cuminreach.trial.mesh;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;
import org.cuminreach.runtime.launch.Launcher;

/** Runs a {@link MeshTrial} from the command line and stops all that it started. */
public final class TrialCommand implements Command {
    private static final String HOME = "home";
    private static final String PORT = "first-port";

    /**
     * Where a trial runs.
     *
     * @param firstPort first of the ports it may use
     * @param folder where its files go
     * @param processes starts and ends its processes
     * @param client speaks to them
     */
    public record Environment(
            int firstPort, Path folder, MeshProcesses processes, MeshClient client) {}

    private final MeshTrial trial;

    private TrialCommand(MeshTrial trial) {
        this.trial = trial;
    }

    /**
     * Returns a launcher that knows one trial.
     *
     * @param trial the trial
     * @return the launcher
     */
    public static Launcher launcher(MeshTrial trial) {
        return Launcher.of("bin", List.of(new TrialCommand(trial)));
    }

    /**
     * Puts the name of a command before its arguments.
     *
     * @param name the name
     * @param arguments the arguments
     * @return both
     */
    public static String[] withCommandName(String name, String[] arguments) {
        String[] all = new String[arguments.length + 1];
        all[0] = name;
        System.arraycopy(arguments, 0, all, 1, arguments.length);
        return all;
    }

    @Override
    public String name() {
        return trial.name();
    }

    @Override
    public String summary() {
        return trial.summary();
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(HOME, "Folder of the project").withRequiredArg().defaultsTo(".");
        parser.accepts(PORT, "First of the ports used, about 100 on loopback")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(trial.defaultFirstPort());
        trial.declareOptions(parser);
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        try (MeshClient client = MeshClient.open()) {
            Path folder = Files.createTempDirectory("cuminreach-" + trial.name());
            out.println("settings and logs are in " + folder);
            MeshProcesses processes =
                    MeshProcesses.create(Path.of((String) options.valueOf(HOME)), folder);
            Environment setting =
                    new Environment((Integer) options.valueOf(PORT), folder, processes, client);
            try {
                ResultTable table = trial.run(setting, options, out);
                table.print(out);
                return table.allPassed() ? ExitCode.DONE : ExitCode.REFUSED;
            } finally {
                processes.stopAll();
            }
        } catch (IOException | TrialFailedException failed) {
            err.println(trial.name() + ": " + failed.getMessage());
            return ExitCode.REFUSED;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return ExitCode.REFUSED;
        }
    }
}
