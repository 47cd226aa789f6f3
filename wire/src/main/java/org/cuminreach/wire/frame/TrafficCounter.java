package org.cuminreach.wire.frame;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes of frames in both directions, length bytes included. */
public final class TrafficCounter {
    private static final int LENGTH_BYTES = 4;

    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();

    private TrafficCounter() {}

    /**
     * Returns a counter at zero.
     *
     * @return a new counter
     */
    public static TrafficCounter zero() {
        return new TrafficCounter();
    }

    /**
     * Returns the bytes sent.
     *
     * @return bytes
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * Returns the bytes received.
     *
     * @return bytes
     */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    void recordSent(int bytes) {
        sentBytes.add(bytes + LENGTH_BYTES);
    }

    void recordReceived(int bytes) {
        receivedBytes.add(bytes + LENGTH_BYTES);
    }
}
