package org.cuminreach.control.storage;

import java.io.IOException;

/** A file of the data folder that was damaged after it had been synced. */
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
     * @return the exception, which says what an operator can do
     */
    static CorruptDataException of(String file, String damage) {
        return new CorruptDataException(
                "file "
                        + file
                        + " "
                        + damage
                        + "; empty the data folder, start this control anew and admit it as a new"
                        + " member");
    }
}
