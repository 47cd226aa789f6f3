package org.cuminreach.control.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.control.ControlSettings;
import org.cuminreach.document.DocumentReader;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.runtime.launch.Command;
import org.cuminreach.runtime.launch.ExitCode;
import org.cuminreach.runtime.launch.SettingsFile;
import org.cuminreach.runtime.launch.SettingsOption;
import org.cuminreach.settings.ParseResult;

/** Validates a settings file or a document without starting or sending anything. */
final class CheckCommand implements Command {
    private static final SettingsOption<ControlSettings> SETTINGS =
            SettingsOption.of(ControlSettings::read);
    private static final String DOCUMENT = "document";

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String summary() {
        return "Validate a settings file or a document";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        SETTINGS.declareOptional(parser);
        parser.accepts(DOCUMENT, "Document").withRequiredArg();
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        if (SETTINGS.isGiven(options) == options.has(DOCUMENT)) {
            err.println("check: give either --settings FILE or --document FILE");
            return ExitCode.USAGE;
        }
        boolean sound =
                SETTINGS.isGiven(options)
                        ? SETTINGS.read(options, err).isPresent()
                        : checkDocument(Path.of((String) options.valueOf(DOCUMENT)), err);
        if (sound) {
            out.println("sound");
        }
        return sound ? ExitCode.DONE : ExitCode.REFUSED;
    }

    private static boolean checkDocument(Path file, PrintStream err) {
        Optional<String> text = SettingsFile.readText(file, err);
        if (text.isEmpty()) {
            return false;
        }
        return switch (DocumentReader.read(text.get())) {
            case ParseResult.Valid<MeshDocument> sound -> true;
            case ParseResult.Invalid<MeshDocument> faulty -> {
                SettingsFile.printFaults(file, faulty.faults(), err);
                yield false;
            }
        };
    }
}
