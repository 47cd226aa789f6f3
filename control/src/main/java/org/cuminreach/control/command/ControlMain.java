package org.cuminreach.control.command;

import java.util.List;
import org.cuminreach.runtime.launch.Launcher;

/** Entry point of {@code cuminreach-control}. */
public final class ControlMain {
    private ControlMain() {}

    /**
     * Runs a command and exits with its exit code.
     *
     * @param arguments command-line arguments
     */
    public static void main(String[] arguments) {
        Launcher launcher =
                Launcher.of(
                        "cuminreach-control",
                        List.of(
                                new InitialiseCommand(),
                                new ServeCommand(),
                                new CheckCommand(),
                                new SubmitCommand(),
                                new MembersCommand(),
                                new EvacuationsCommand(),
                                ReadCommand.status(),
                                new WatchCommand(),
                                new TraceCommand(),
                                ReadCommand.history(),
                                ReadCommand.document()));
        System.exit(launcher.run(arguments, System.out, System.err));
    }
}
