package org.cuminreach.runtime;

/** The clocks of this process; read at its edges only, decisions take the time as an argument. */
public final class ProcessClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private ProcessClock() {}

    /**
     * Reads the clock that never goes back.
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
