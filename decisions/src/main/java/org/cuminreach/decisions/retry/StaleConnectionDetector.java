package org.cuminreach.decisions.retry;

/**
 * Tells when the idle connections to a peer may have fallen silent for good, from when calls to it
 * were answered and when they timed out. A peer that answers others meanwhile is slow rather than
 * out of reach, until a second call in a row times out. Safe for use by several threads.
 */
public final class StaleConnectionDetector {
    private static final int MAX_CONSECUTIVE_TIMEOUTS = 2;

    private long lastAnswerMillis = Long.MIN_VALUE;
    private int consecutiveTimeouts;

    private StaleConnectionDetector() {}

    /**
     * Returns the suspicion of a peer not yet called.
     *
     * @return no suspicion
     */
    public static StaleConnectionDetector create() {
        return new StaleConnectionDetector();
    }

    /**
     * Notes that the peer answered.
     *
     * @param nowMillis present time
     */
    public synchronized void recordAnswer(long nowMillis) {
        lastAnswerMillis = nowMillis;
        consecutiveTimeouts = 0;
    }

    /**
     * Notes that a call timed out.
     *
     * @param begunMillis when the call was sent
     * @return true when the idle connections to the peer are to be replaced by new ones
     */
    public synchronized boolean recordTimeout(long begunMillis) {
        consecutiveTimeouts++;
        boolean silent = lastAnswerMillis <= begunMillis;
        if (silent || consecutiveTimeouts >= MAX_CONSECUTIVE_TIMEOUTS) {
            consecutiveTimeouts = 0;
            return true;
        }
        return false;
    }
}
