package org.cuminreach.decisions.admission;

import java.util.Arrays;

/**
 * Tells when a slot is to be kept free for more urgent calls. Short urgent calls would spend most
 * of their time waiting for the end of long ones; whoever sent them holds a slot elsewhere
 * meanwhile. One free slot takes that wait away, and costs little where such calls come often
 * enough to use it. Not safe for use by several threads at once.
 */
final class SlotReserve {
    /** Time over which the load of a priority is averaged, in milliseconds. */
    private static final double LOAD_DECAY_MILLIS = 1_000;

    /** Load of urgent calls, in slots, from which a slot is kept. */
    private static final double MIN_LOAD = 0.25;

    /** Part of the wait for the next free slot; calls that run for longer hardly feel that wait. */
    private static final double MAX_SHORT_CALL_SHARE = 2.0 / 3;

    /** Fewer slots are too dear to keep one of them. */
    private static final int MIN_SLOTS = 4;

    private static final double SMOOTHING = 0.05;

    private final double[] loads = new double[AdmissionRequest.PRIORITIES];
    private final double[] meanRunMillis = new double[AdmissionRequest.PRIORITIES];
    private final long[] updatedMillis = new long[AdmissionRequest.PRIORITIES];

    SlotReserve() {
        Arrays.fill(updatedMillis, Long.MIN_VALUE / 2);
    }

    /** Notes an arrival and how long it is going to run. */
    void recordArrival(int priority, double runMillis, long nowMillis) {
        loads[priority] = load(priority, nowMillis) + runMillis / LOAD_DECAY_MILLIS;
        updatedMillis[priority] = nowMillis;
        double mean = meanRunMillis[priority];
        meanRunMillis[priority] = mean == 0 ? runMillis : mean + SMOOTHING * (runMillis - mean);
    }

    /** Returns how many slots a call of a priority leaves free for more urgent ones. */
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

    /** Returns the slots that more urgent calls leave to a priority on average, at least 1. */
    double remaining(int priority, int slots, long nowMillis) {
        double left = slots;
        for (int urgent = 0; urgent < priority; urgent++) {
            left -= load(urgent, nowMillis);
        }
        return Math.max(1, left);
    }

    private double load(int priority, long nowMillis) {
        double passed = (double) nowMillis - updatedMillis[priority];
        return loads[priority] * Math.exp(-passed / LOAD_DECAY_MILLIS);
    }
}
