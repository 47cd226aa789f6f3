package org.cuminreach.document;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param maxHeaderBytes maximum size of a call's header block, in bytes
 * @param maxBodyBytes maximum size of a call's body, in bytes
 * @param headerTimeoutMillis time within which a header block must arrive, in milliseconds
 * @param idleTimeoutMillis time that a connection may stay idle, in milliseconds
 */
public record CallerLimits(
        int maxHeaderBytes, long maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {
    private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
    private static final long DEFAULT_BODY_BYTES = 8 * 1024 * 1024;
    private static final int DEFAULT_HEADER_TIMEOUT_MILLIS = 10_000;
    private static final int DEFAULT_IDLE_TIMEOUT_MILLIS = 60_000;

    /**
     * Returns the limits that apply when the document specifies none.
     *
     * @return the default limits
     */
    public static CallerLimits defaults() {
        return new CallerLimits(
                DEFAULT_HEADER_BYTES,
                DEFAULT_BODY_BYTES,
                DEFAULT_HEADER_TIMEOUT_MILLIS,
                DEFAULT_IDLE_TIMEOUT_MILLIS);
    }
}
