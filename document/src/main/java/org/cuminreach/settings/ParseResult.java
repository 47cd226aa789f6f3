package org.cuminreach.settings;

import java.util.List;

/**
 * What came of reading a file: the value, or every fault found.
 *
 * @param <T> type of the value
 */
public sealed interface ParseResult<T> {
    /**
     * The file was sound.
     *
     * @param <T> type of the value
     * @param value what was read
     */
    record Valid<T>(T value) implements ParseResult<T> {}

    /**
     * The file was refused whole.
     *
     * @param <T> type of the value that was not read
     * @param faults every fault found, at least one
     */
    record Invalid<T>(List<Fault> faults) implements ParseResult<T> {
        /** Copies the list. */
        public Invalid {
            faults = List.copyOf(faults);
        }
    }
}
