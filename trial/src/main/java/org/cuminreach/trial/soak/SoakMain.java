package org.cuminreach.trial.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;
import org.cuminreach.runtime.launch.Launcher;
import org.cuminreach.trial.mesh.TrialCommand;

/** Runs the soak with a range of seeds and prints the result of each. */
public final class SoakMain implements Command {
    private static final String FIRST = "first-seed";
    private static final String SEEDS = "seeds";
    private static final String SECONDS = "seconds";
    private static final String NODES = "nodes";
    private static final int CALLERS_PER_NODE = 4;
    private static final int MILLIS_PER_SECOND = 1_000;

    private SoakMain() {}

    /**
     * Runs the soak and exits with 0 only if nothing was violated.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        Launcher launcher = Launcher.of("bin", List.of(new SoakMain()));
        String[] all = TrialCommand.withCommandName("soak", arguments);
        System.exit(launcher.run(all, System.out, System.err));
    }

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public String summary() {
        return "Disrupt node processes beside targets that name limits and leave";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        number(parser, FIRST, "First seed", 1);
        number(parser, SEEDS, "Number of seeds", 1);
        number(parser, SECONDS, "Duration of each run in seconds", 30);
        number(parser, NODES, "Node processes", 5);
    }

    private static void number(OptionParser parser, String name, String text, int byDefault) {
        parser.accepts(name, text).withRequiredArg().ofType(Integer.class).defaultsTo(byDefault);
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        int first = (Integer) options.valueOf(FIRST);
        int violated = 0;
        for (int seed = first; seed < first + (Integer) options.valueOf(SEEDS); seed++) {
            SoakPlan plan =
                    new SoakPlan(
                            seed,
                            (long) MILLIS_PER_SECOND * (Integer) options.valueOf(SECONDS),
                            (Integer) options.valueOf(NODES),
                            CALLERS_PER_NODE);
            try {
                SoakResult result = SoakRun.run(plan);
                out.println(plan + " " + result);
                violated += result.violations().isEmpty() ? 0 : 1;
            } catch (IOException | IllegalStateException failure) {
                err.println("soak: " + plan + ": " + failure.getMessage());
                violated++;
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return ExitCode.REFUSED;
            }
        }
        out.println("seeds with violations: " + violated);
        return violated == 0 ? ExitCode.DONE : ExitCode.REFUSED;
    }
}
