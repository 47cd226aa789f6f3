package org.cuminreach.runtime.launch;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cuminreach.settings.CheckedObject;
import org.cuminreach.settings.FieldOverride;

/**
 * Command-line options that name a settings file and override some of its fields.
 *
 * @param <T> type of the settings
 */
public final class SettingsOption<T> {
    private static final String SETTINGS = "settings";
    private static final String SET = "set";

    private final Function<CheckedObject, T> reader;

    private SettingsOption(Function<CheckedObject, T> reader) {
        this.reader = reader;
    }

    /**
     * Returns the options of a binary.
     *
     * @param <T> type of the settings
     * @param reader builds the settings
     * @return the options
     */
    public static <T> SettingsOption<T> of(Function<CheckedObject, T> reader) {
        return new SettingsOption<>(reader);
    }

    /**
     * Declares the options, with the settings file as a required one.
     *
     * @param parser receives them
     */
    public void declare(OptionParser parser) {
        parser.accepts(SETTINGS, "Settings file").withRequiredArg().required();
        declareOverrides(parser);
    }

    /**
     * Declares the options without a required one.
     *
     * @param parser receives them
     */
    public void declareOptional(OptionParser parser) {
        parser.accepts(SETTINGS, "Settings file").withRequiredArg();
        declareOverrides(parser);
    }

    /**
     * Returns whether the settings file is given.
     *
     * @param options the parsed options
     * @return true when the settings file is given
     */
    public boolean isGiven(OptionSet options) {
        return options.has(SETTINGS);
    }

    /**
     * Reads the settings.
     *
     * @param options the parsed options, with a settings file
     * @param err receives the faults, one per line
     * @return the settings, or empty when they were refused
     */
    public Optional<T> read(OptionSet options, PrintStream err) {
        List<FieldOverride> overrides = new ArrayList<>();
        for (Object text : options.valuesOf(SET)) {
            Optional<FieldOverride> override = FieldOverride.parse((String) text);
            if (override.isEmpty()) {
                err.println(
                        "--"
                                + SET
                                + " "
                                + text
                                + ": expected FIELD=VALUE, such as log.level=debug");
                return Optional.empty();
            }
            overrides.add(override.get());
        }
        Path file = Path.of((String) options.valueOf(SETTINGS));
        return SettingsFile.read(file, overrides, reader, err);
    }

    private static void declareOverrides(OptionParser parser) {
        parser.accepts(SET, "Replaces a field, such as log.level=debug; may be repeated")
                .withRequiredArg();
    }
}
