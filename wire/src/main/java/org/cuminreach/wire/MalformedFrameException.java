package org.cuminreach.wire;

/** Bytes from outside that are not the message they should be. */
public final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message what was wrong
     */
    public MalformedFrameException(String message) {
        super(message);
    }

    /**
     * Creates the exception.
     *
     * @param message what was wrong
     * @param cause the decoder's exception
     */
    public MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
