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

/** Validates a settings file or a document without starting a control or sending a request. */
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
        parser.accepts(DOCUMENT, "Document file").withRequiredArg();
    }

    @Override
    public int run(OptionSet options, PrintStream out, PrintStream err) {
        if (SETTINGS.isGiven(options) == options.has(DOCUMENT)) {
            err.println("check: requires either --settings FILE or --document FILE");
            return ExitCode.USAGE;
        }
        boolean valid =
                SETTINGS.isGiven(options)
                        ? SETTINGS.read(options, err).isPresent()
                        : checkDocument(Path.of((String) options.valueOf(DOCUMENT)), err);
        if (valid) {
            out.println("sound");
        }
        return valid ? ExitCode.DONE : ExitCode.REFUSED;
    }

    private static boolean checkDocument(Path file, PrintStream err) {
        Optional<String> text = SettingsFile.readText(file, err);
        if (text.isEmpty()) {
            return false;
        }
        return switch (DocumentReader.read(text.get())) {
            case ParseResult.Valid<MeshDocument> valid -> true;
            case ParseResult.Invalid<MeshDocument> invalid -> {
                SettingsFile.printFaults(file, invalid.faults(), err);
                yield false;
            }
        };
    }
}
