package org.cuminreach.node.command;

import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;
import org.cuminreach.runtime.launch.SettingsOption;

/** Validates a settings file without starting anything. */
final class CheckCommand implements Command {
    private static final SettingsOption<NodeSettings> SETTINGS =
            SettingsOption.of(NodeSettings::read);

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
        SETTINGS.declare(parser);
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        boolean valid = SETTINGS.read(options, err).isPresent();
        if (valid) {
            out.println("sound");
        }
        return valid ? ExitCode.DONE : ExitCode.REFUSED;
    }
}
