package org.cuminreach.wire;

/** Thrown when received bytes cannot be decoded to the expected message. */
public final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message the detail message
     */
    public MalformedFrameException(String message) {
        super(message);
    }

    /**
     * Creates the exception.
     *
     * @param message the detail message
     * @param cause the exception of the decoder
     */
    public MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
