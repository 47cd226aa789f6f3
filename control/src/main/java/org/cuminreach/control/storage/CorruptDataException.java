package org.cuminreach.control.storage;

import java.io.IOException;

/** Thrown when a file of the data folder was damaged after it had been synced. */
public final class CorruptDataException extends IOException {
    private static final long serialVersionUID = 1;

    private CorruptDataException(String message) {
        super(message);
    }

    /**
     * Creates the exception.
     *
     * @param file name of the damaged file
     * @param damage what is wrong with it
     * @return an exception whose message tells the operator how to recover
     */
    static CorruptDataException of(String file, String damage) {
        return new CorruptDataException(
                "file "
                        + file
                        + " "
                        + damage
                        + "; empty the data folder, restart this control and admit it as a new"
                        + " member");
    }
}
