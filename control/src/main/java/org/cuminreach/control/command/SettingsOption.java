package org.cuminreach.control.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.control.ControlSettings;
import org.cuminreach.runtime.launch.SettingsFile;

/** The options that the commands run on a control VM share. */
final class SettingsOption {
    private static final String SETTINGS = "settings";

    private SettingsOption() {}

    static void declare(OptionParser parser) {
        parser.accepts(SETTINGS, "Settings file").withRequiredArg().required();
    }

    static Optional<ControlSettings> read(OptionSet options, PrintStream err) {
        Path file = Path.of((String) options.valueOf(SETTINGS));
        return SettingsFile.read(file, ControlSettings::read, err);
    }
}
