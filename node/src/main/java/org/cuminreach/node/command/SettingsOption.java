package org.cuminreach.node.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.runtime.launch.SettingsFile;

/** The option for the settings file, which every command has. */
final class SettingsOption {
    private static final String SETTINGS = "settings";

    private SettingsOption() {}

    static void declare(OptionParser parser) {
        parser.accepts(SETTINGS, "Settings file").withRequiredArg().required();
    }

    static Optional<NodeSettings> read(OptionSet options, PrintStream err) {
        Path file = Path.of((String) options.valueOf(SETTINGS));
        return SettingsFile.read(file, NodeSettings::read, err);
    }
}
