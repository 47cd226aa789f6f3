package org.cuminreach.control.storage;

import java.io.IOException;

/**
 * Thrown when a write failed, for example because the disk is full. Data that was synced before is
 * intact, and the same save may be retried. A failed sync is reported by another exception, since
 * the data that it covered may be lost.
 */
public final class WriteFailedException extends IOException {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param file name of the file
     * @param cause the error of the operating system
     */
    public WriteFailedException(String file, IOException cause) {
        super("write to file " + file + " failed: " + cause.getMessage(), cause);
    }
}
