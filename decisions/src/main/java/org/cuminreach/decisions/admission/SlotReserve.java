package org.cuminreach.decisions.admission;

import java.util.Arrays;

/**
 * Decides when a slot is kept free for more urgent calls. Short urgent calls would spend most of
 * their time waiting for long ones to end, while their senders hold slots elsewhere. One free slot
 * removes that wait, and costs little where such calls arrive often enough to use it. Not
 * thread-safe.
 */
final class SlotReserve {
    /** Time constant with which the load of a priority is averaged, in milliseconds. */
    private static final double LOAD_DECAY_MILLIS = 1_000;

    /** Load of urgent calls, in slots, from which a slot is kept free. */
    private static final double MIN_LOAD = 0.25;

    /**
     * Largest running time of a short call as a share of the wait for the next free slot; for
     * longer calls that wait hardly matters.
     */
    private static final double MAX_SHORT_CALL_SHARE = 2.0 / 3;

    /** Number of slots below which keeping one free would cost too much. */
    private static final int MIN_SLOTS = 4;

    private static final double SMOOTHING = 0.05;

    private final double[] loads = new double[AdmissionRequest.PRIORITIES];
    private final double[] meanRunMillis = new double[AdmissionRequest.PRIORITIES];
    private final long[] updatedMillis = new long[AdmissionRequest.PRIORITIES];

    SlotReserve() {
        Arrays.fill(updatedMillis, Long.MIN_VALUE / 2);
    }

    /** Records the arrival of a call and its expected running time. */
    void recordArrival(int priority, double runMillis, long nowMillis) {
        loads[priority] = load(priority, nowMillis) + runMillis / LOAD_DECAY_MILLIS;
        updatedMillis[priority] = nowMillis;
        double mean = meanRunMillis[priority];
        meanRunMillis[priority] = mean == 0 ? runMillis : mean + SMOOTHING * (runMillis - mean);
    }

    /** Returns the number of slots that calls of a priority leave free for more urgent ones. */
    int reserved(int priority, int slots, long nowMillis) {
        if (slots < MIN_SLOTS) {
            return 0;
        }
        double nextFreeMillis = meanRunMillis[priority] / slots;
        for (int urgent = 0; urgent < priority; urgent++) {
            boolean isShort = meanRunMillis[urgent] < MAX_SHORT_CALL_SHARE * nextFreeMillis;
            if (isShort && load(urgent, nowMillis) >= MIN_LOAD) {
                return 1;
            }
        }
        return 0;
    }

    /**
     * Returns the average number of slots that more urgent calls leave to a priority, at least 1.
     */
    double remaining(int priority, int slots, long nowMillis) {
        double remaining = slots;
        for (int urgent = 0; urgent < priority; urgent++) {
            remaining -= load(urgent, nowMillis);
        }
        return Math.max(1, remaining);
    }

    private double load(int priority, long nowMillis) {
        double elapsedMillis = (double) nowMillis - updatedMillis[priority];
        return loads[priority] * Math.exp(-elapsedMillis / LOAD_DECAY_MILLIS);
    }
}
