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

/** Reads a file of settings for a command and reports its faults. */
public final class SettingsFile {
    private SettingsFile() {}

    /**
     * Reads a file whole.
     *
     * @param file the file
     * @param err where a fault goes
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
     * @param overrides values that go before those of the file
     * @param reader builds the settings
     * @param err where faults go, a line each
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
            case ParseResult.Valid<T> sound -> Optional.of(sound.value());
            case ParseResult.Invalid<T> faulty -> {
                printFaults(file, faulty.faults(), err);
                yield Optional.empty();
            }
        };
    }

    /**
     * Prints faults.
     *
     * @param file the file at fault
     * @param faults its faults
     * @param err where they go, a line each
     */
    public static void printFaults(Path file, List<Fault> faults, PrintStream err) {
        faults.forEach(fault -> err.println(file + ": " + fault));
    }
}
