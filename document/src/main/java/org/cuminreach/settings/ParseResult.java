package org.cuminreach.settings;

import java.util.List;

/**
 * The result of parsing a settings file or document: the value, or all faults found.
 *
 * @param <T> type of the value
 */
public sealed interface ParseResult<T> {
    /**
     * The result for valid input.
     *
     * @param <T> type of the value
     * @param value the parsed value
     */
    record Valid<T>(T value) implements ParseResult<T> {}

    /**
     * The result for invalid input, which is refused as a whole.
     *
     * @param <T> type of the value that was expected
     * @param faults all faults found; at least one
     */
    record Invalid<T>(List<Fault> faults) implements ParseResult<T> {
        /** Copies the list. */
        public Invalid {
            faults = List.copyOf(faults);
        }
    }
}
