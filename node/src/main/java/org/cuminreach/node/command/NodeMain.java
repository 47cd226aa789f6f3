package org.cuminreach.node.command;

import java.util.List;
import org.cuminreach.runtime.launch.Launcher;

/** Entry point of the {@code cuminreach-node} command. */
public final class NodeMain {
    private NodeMain() {}

    /**
     * Runs a subcommand and exits with its exit code.
     *
     * @param arguments command-line arguments
     */
    public static void main(String[] arguments) {
        Launcher launcher =
                Launcher.of(
                        "cuminreach-node",
                        List.of(new ServeCommand(), new CheckCommand(), new StatusCommand()));
        System.exit(launcher.run(arguments, System.out, System.err));
    }
}
