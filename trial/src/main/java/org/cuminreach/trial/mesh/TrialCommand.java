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

/** Runs a {@link MeshTrial} from the command line and stops every process that it started. */
public final class TrialCommand implements Command {
    private static final String HOME = "home";
    private static final String PORT = "first-port";

    /**
     * The environment of a trial.
     *
     * @param firstPort first of the ports that the trial uses
     * @param folder folder of its files
     * @param processes starts and stops its processes
     * @param client sends HTTP requests to its processes
     */
    public record Environment(
            int firstPort, Path folder, MeshProcesses processes, MeshClient client) {}

    private final MeshTrial trial;

    private TrialCommand(MeshTrial trial) {
        this.trial = trial;
    }

    /**
     * Returns a launcher for one trial.
     *
     * @param trial the trial
     * @return the launcher
     */
    public static Launcher launcher(MeshTrial trial) {
        return Launcher.of("bin", List.of(new TrialCommand(trial)));
    }

    /**
     * Prepends the name of a command to its arguments.
     *
     * @param name the name
     * @param arguments the arguments
     * @return name and arguments
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
        parser.accepts(PORT, "First of about 100 consecutive loopback ports to use")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(trial.defaultFirstPort());
        trial.declareOptions(parser);
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        try (MeshClient client = MeshClient.open()) {
            Path folder = Files.createTempDirectory("cuminreach-" + trial.name());
            out.println("settings and logs: " + folder);
            MeshProcesses processes =
                    MeshProcesses.create(Path.of((String) options.valueOf(HOME)), folder);
            Environment environment =
                    new Environment((Integer) options.valueOf(PORT), folder, processes, client);
            try {
                ResultTable table = trial.run(environment, options, out);
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
