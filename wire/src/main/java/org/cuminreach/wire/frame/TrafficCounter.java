package org.cuminreach.wire.frame;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes of sent and received frames, length prefixes included. */
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
     * Returns the number of bytes sent.
     *
     * @return the bytes
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * Returns the number of bytes received.
     *
     * @return the bytes
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
