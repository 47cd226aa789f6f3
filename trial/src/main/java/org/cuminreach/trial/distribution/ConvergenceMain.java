package org.cuminreach.trial.distribution;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeoutException;
import org.cuminreach.runtime.log.LogFormat;
import org.cuminreach.runtime.log.LogLevel;
import org.cuminreach.runtime.log.LogSettings;
import org.cuminreach.runtime.log.LogSetup;

/**
 * Measures convergence times, traffic, and the CPU time and memory of the controls by the number of
 * nodes. Arguments: the folder of the project, the number of controls, and the numbers of nodes.
 */
public final class ConvergenceMain {
    private static final int FIRST_NODE_COUNT = 2;

    private ConvergenceMain() {}

    /**
     * Prints one line for each number of nodes.
     *
     * @param arguments for example {@code . 3 10 100 500 2300}
     * @throws IOException when a control cannot be started
     * @throws InterruptedException when interrupted
     * @throws TimeoutException when a version does not reach every node
     */
    public static void main(String[] arguments)
            throws IOException, InterruptedException, TimeoutException {
        LogSetup.apply(LogSettings.of(LogLevel.WARN, LogFormat.TEXT));
        if (arguments.length <= FIRST_NODE_COUNT) {
            System.err.println("usage: ConvergenceMain project-folder controls nodes...");
            System.exit(2);
        }
        Path projectFolder = Path.of(arguments[0]).toAbsolutePath();
        int controls = Integer.parseInt(arguments[1]);
        List<Integer> nodeCounts =
                Arrays.stream(arguments).skip(FIRST_NODE_COUNT).map(Integer::valueOf).toList();
        System.out.println(ConvergenceResult.heading());
        for (int nodeCount : nodeCounts) {
            System.out.println(
                    new ConvergenceTrial(projectFolder, nodeCount, controls).run().line());
        }
        System.exit(0);
    }
}
