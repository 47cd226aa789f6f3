package org.cuminreach.decisions.tenant;

import java.util.OptionalLong;

/**
 * Reading of two clocks. A steady clock may stop while the machine is suspended, and the time of
 * day may be set, so neither alone tells how much time has passed; a time in which they disagree is
 * unknown.
 *
 * @param steadyMillis a clock that is never set, in milliseconds since any origin
 * @param wallMillis the time of day, in milliseconds since the epoch
 */
public record ClockReading(long steadyMillis, long wallMillis) {
    /** Difference between the clocks that their adjustment and their reading explain. */
    private static final long TOLERANCE_MILLIS = 200;

    /**
     * Returns the time since an earlier reading.
     *
     * @param earlier the earlier reading
     * @return the larger of the two clocks' times, at least 0, in milliseconds; empty when the
     *     clocks disagree
     */
    public OptionalLong elapsedMillis(ClockReading earlier) {
        long steady = steadyMillis - earlier.steadyMillis;
        long wall = wallMillis - earlier.wallMillis;
        return Math.abs(steady - wall) > TOLERANCE_MILLIS
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, Math.max(steady, wall)));
    }

    /**
     * Tells whether less than a given time has passed since an earlier reading.
     *
     * @param earlier the earlier reading
     * @param millis the time, in milliseconds
     * @return true if so; false when the clocks disagree
     */
    public boolean isWithin(ClockReading earlier, long millis) {
        OptionalLong elapsed = elapsedMillis(earlier);
        return elapsed.isPresent() && elapsed.getAsLong() < millis;
    }
}
