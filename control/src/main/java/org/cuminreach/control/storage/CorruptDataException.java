package org.cuminreach.control.storage;

import java.io.IOException;

/** A file of the data folder that was damaged after it had been synced. */
public final class CorruptDataException extends IOException {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message which file, where, and what an operator can do
     */
    public CorruptDataException(String message) {
        super(message);
    }
}
