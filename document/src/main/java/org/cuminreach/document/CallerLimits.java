package org.cuminreach.document;

/**
 * What callers may send and how long they may take.
 *
 * @param maxHeaderBytes longest header block of a call, in bytes
 * @param maxBodyBytes longest body of a call, in bytes
 * @param headerTimeoutMillis time that a header block may take to arrive, in milliseconds
 * @param idleTimeoutMillis time that a connection may stay without a call, in milliseconds
 */
public record CallerLimits(
        int maxHeaderBytes, long maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {
    private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
    private static final long DEFAULT_BODY_BYTES = 8 * 1024 * 1024;
    private static final int DEFAULT_HEADER_TIMEOUT_MILLIS = 10_000;
    private static final int DEFAULT_IDLE_TIMEOUT_MILLIS = 60_000;

    /**
     * Returns what holds for a document that names nothing else.
     *
     * @return the limits
     */
    public static CallerLimits defaults() {
        return new CallerLimits(
                DEFAULT_HEADER_BYTES,
                DEFAULT_BODY_BYTES,
                DEFAULT_HEADER_TIMEOUT_MILLIS,
                DEFAULT_IDLE_TIMEOUT_MILLIS);
    }
}
