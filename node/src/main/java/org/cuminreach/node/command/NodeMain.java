package org.cuminreach.node.command;

import java.util.List;
import org.cuminreach.runtime.launch.Launcher;

/** Entry point of {@code cuminreach-node}. */
public final class NodeMain {
    private NodeMain() {}

    /**
     * Runs a command and exits with its code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        Launcher launcher =
                Launcher.of(
                        "cuminreach-node",
                        List.of(new ServeCommand(), new CheckCommand(), new StatusCommand()));
        System.exit(launcher.run(arguments, System.out, System.err));
    }
}
