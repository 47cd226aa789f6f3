package org.cuminreach.runtime.launch;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.cuminreach.settings.CheckedJson;
import org.cuminreach.settings.CheckedObject;
import org.cuminreach.settings.Fault;
import org.cuminreach.settings.FieldOverride;
import org.cuminreach.settings.ParseResult;

/** Reads settings files for commands and reports their faults. */
public final class SettingsFile {
    private SettingsFile() {}

    /**
     * Reads the text of a file.
     *
     * @param file the file
     * @param err receives the error message
     * @return its text, or empty when it could not be read
     */
    public static Optional<String> readText(Path file, PrintStream err) {
        try {
            return Optional.of(Files.readString(file));
        } catch (IOException unreadable) {
            err.println(file + ": cannot be read: " + unreadable.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Reads settings.
     *
     * @param <T> type of the settings
     * @param file the file
     * @param overrides values that replace those of the file
     * @param reader builds the settings
     * @param err receives the faults, one per line
     * @return the settings, or empty when the file was refused
     */
    public static <T> Optional<T> read(
            Path file,
            List<FieldOverride> overrides,
            Function<CheckedObject, T> reader,
            PrintStream err) {
        Optional<String> text = readText(file, err);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        return switch (CheckedJson.read(text.get(), overrides, reader)) {
            case ParseResult.Valid<T> valid -> Optional.of(valid.value());
            case ParseResult.Invalid<T> invalid -> {
                printFaults(file, invalid.faults(), err);
                yield Optional.empty();
            }
        };
    }

    /**
     * Prints the faults of a file.
     *
     * @param file the file
     * @param faults the faults
     * @param err receives the faults, one per line
     */
    public static void printFaults(Path file, List<Fault> faults, PrintStream err) {
        faults.forEach(fault -> err.println(file + ": " + fault));
    }
}
