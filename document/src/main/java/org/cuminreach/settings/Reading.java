package org.cuminreach.settings;

import java.util.List;

/**
 * What came of reading a file: the value, or every fault found.
 *
 * @param <T> type of the value
 */
public sealed interface Reading<T> {
    /**
     * The file was sound.
     *
     * @param <T> type of the value
     * @param value what was read
     */
    record Sound<T>(T value) implements Reading<T> {}

    /**
     * The file was refused whole.
     *
     * @param <T> type of the value that was not read
     * @param faults every fault found, at least one
     */
    record Faulty<T>(List<Fault> faults) implements Reading<T> {
        /** Copies the list. */
        public Faulty {
            faults = List.copyOf(faults);
        }
    }
}
