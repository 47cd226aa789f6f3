package org.cuminreach.node.command;

import java.io.PrintStream;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.node.NodeProcess;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;
import org.cuminreach.runtime.launch.SettingsOption;
import org.cuminreach.runtime.launch.Shutdown;
import org.cuminreach.runtime.log.LogSetup;

/** Runs a node until it receives a stop signal, then shuts it down gracefully. */
final class ServeCommand implements Command {
    private static final SettingsOption<NodeSettings> SETTINGS =
            SettingsOption.of(NodeSettings::read);

    @Override
    public String name() {
        return "serve";
    }

    @Override
    public String summary() {
        return "Run a node";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        SETTINGS.declare(parser);
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        Optional<NodeSettings> settings = SETTINGS.read(options, err);
        if (settings.isEmpty()) {
            return ExitCode.REFUSED;
        }
        LogSetup.apply(settings.get().log());
        try {
            NodeProcess process = NodeProcess.start(settings.get());
            Shutdown.await(process::stop);
            return ExitCode.DONE;
        } catch (CompletionException failure) {
            err.println("the node cannot start: " + failure.getCause().getMessage());
            return ExitCode.REFUSED;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return ExitCode.DONE;
        }
    }
}
