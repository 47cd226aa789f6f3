package org.cuminreach.control.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.control.ControlProcess;
import org.cuminreach.control.ControlSettings;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;
import org.cuminreach.runtime.launch.SettingsOption;
import org.cuminreach.runtime.launch.Shutdown;
import org.cuminreach.runtime.log.LogSetup;

/** Runs a control until the process is asked to stop. */
final class ServeCommand implements Command {
    private static final SettingsOption<ControlSettings> SETTINGS =
            SettingsOption.of(ControlSettings::read);

    @Override
    public String name() {
        return "serve";
    }

    @Override
    public String summary() {
        return "Run a control";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        SETTINGS.declare(parser);
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        Optional<ControlSettings> settings = SETTINGS.read(options, err);
        if (settings.isEmpty()) {
            return ExitCode.REFUSED;
        }
        LogSetup.apply(settings.get().log());
        try {
            ControlProcess process = ControlProcess.start(settings.get());
            Shutdown.await(process::stop);
            return ExitCode.DONE;
        } catch (IOException | CompletionException e) {
            err.println("the control cannot start: " + e.getMessage());
            return ExitCode.REFUSED;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return ExitCode.DONE;
        }
    }
}
