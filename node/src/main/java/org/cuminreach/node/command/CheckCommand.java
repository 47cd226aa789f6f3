package org.cuminreach.node.command;

import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;

/** Validates a settings file without starting anything. */
final class CheckCommand implements Command {
    @Override
    public String name() {
        return "check";
    }

    @Override
    public String summary() {
        return "Validate a settings file";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        SettingsOption.declare(parser);
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        boolean sound = SettingsOption.read(options, err).isPresent();
        if (sound) {
            out.println("sound");
        }
        return sound ? ExitCode.DONE : ExitCode.REFUSED;
    }
}
