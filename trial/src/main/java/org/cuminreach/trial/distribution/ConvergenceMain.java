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
 * Measures convergence, bytes and the controls' cost against the number of nodes. Arguments: the
 * folder of the project, the number of controls, and the numbers of nodes.
 */
public final class ConvergenceMain {
    private static final int FIRST_NODE_COUNT = 2;

    private ConvergenceMain() {}

    /**
     * Prints one line a size.
     *
     * @param arguments for instance {@code . 3 10 100 500 2300}
     * @throws IOException when a control cannot be started
     * @throws InterruptedException when interrupted
     * @throws TimeoutException when a version does not reach every node
     */
    public static void main(String[] arguments)
            throws IOException, InterruptedException, TimeoutException {
        LogSetup.apply(LogSettings.of(LogLevel.WARN, LogFormat.TEXT));
        if (arguments.length <= FIRST_NODE_COUNT) {
            System.err.println("usage: ConvergenceMain home controls nodes...");
            System.exit(2);
        }
        Path home = Path.of(arguments[0]).toAbsolutePath();
        int controls = Integer.parseInt(arguments[1]);
        List<Integer> sizes =
                Arrays.stream(arguments).skip(FIRST_NODE_COUNT).map(Integer::valueOf).toList();
        System.out.println(ConvergenceResult.heading());
        for (int size : sizes) {
            System.out.println(new ConvergenceTrial(home, size, controls).run().line());
        }
        System.exit(0);
    }
}
