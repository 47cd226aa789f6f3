package org.cuminreach.decisions.retry;

/**
 * Detects when the idle connections to a peer may be stale, that is, open but no longer working,
 * from the answers and timeouts of calls to it. A peer that answers other calls meanwhile is
 * considered slow rather than unreachable, until a second consecutive call times out. Thread-safe.
 */
public final class StaleConnectionDetector {
    private static final int MAX_CONSECUTIVE_TIMEOUTS = 2;

    private long lastAnswerMillis = Long.MIN_VALUE;
    private int consecutiveTimeouts;

    private StaleConnectionDetector() {}

    /**
     * Creates a detector for a peer that has not been called yet.
     *
     * @return a new detector
     */
    public static StaleConnectionDetector create() {
        return new StaleConnectionDetector();
    }

    /**
     * Records an answer of the peer.
     *
     * @param nowMillis current time
     */
    public synchronized void recordAnswer(long nowMillis) {
        lastAnswerMillis = nowMillis;
        consecutiveTimeouts = 0;
    }

    /**
     * Records that a call timed out.
     *
     * @param sentMillis time at which the call was sent
     * @return true when the idle connections to the peer should be replaced
     */
    public synchronized boolean recordTimeout(long sentMillis) {
        consecutiveTimeouts++;
        boolean noAnswerSinceSent = lastAnswerMillis <= sentMillis;
        if (noAnswerSinceSent || consecutiveTimeouts >= MAX_CONSECUTIVE_TIMEOUTS) {
            consecutiveTimeouts = 0;
            return true;
        }
        return false;
    }
}
