package org.cuminreach.runtime.http;

import java.io.IOException;

/** A body exceeds the memory that is left for it. */
public final class BodyMemoryExhaustedException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public BodyMemoryExhaustedException() {
        super("the body exceeds the memory that is left for it");
    }
}
