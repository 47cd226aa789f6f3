package org.cuminreach.control.storage;

import java.io.IOException;

/**
 * The disk refused a write, as when it is full. Nothing that was synced before is lost, and the
 * same save may be tried again. A sync that fails is another matter: what it covered may be gone.
 */
public final class WriteFailedException extends IOException {
    private static final long serialVersionUID = 1;

    /**
     * Wraps the refusal.
     *
     * @param file name of the file
     * @param cause what the system reported
     */
    public WriteFailedException(String file, IOException cause) {
        super("file " + file + " takes no more bytes: " + cause.getMessage(), cause);
    }
}
