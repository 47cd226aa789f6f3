package org.cuminreach.runtime;

/**
 * Clocks of the process. They are read only at the edges of the process; decision code receives the
 * time as an argument.
 */
public final class ProcessClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private ProcessClock() {}

    /**
     * Reads the monotonic clock.
     *
     * @return milliseconds since an arbitrary origin
     */
    public static long monotonicMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /**
     * Reads the wall clock.
     *
     * @return milliseconds since the epoch
     */
    public static long wallMillis() {
        return System.currentTimeMillis();
    }
}
