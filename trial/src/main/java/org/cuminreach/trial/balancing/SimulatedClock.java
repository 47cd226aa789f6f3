package org.cuminreach.trial.balancing;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in the order of their simulated times; events of equal time run as scheduled. */
final class SimulatedClock {
    private static final long MICROS_PER_MILLI = 1_000;

    private record Event(long atMicros, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private long nowMicros;
    private long sequence;

    long nowMicros() {
        return nowMicros;
    }

    long nowMillis() {
        return nowMicros / MICROS_PER_MILLI;
    }

    void schedule(double millis, Runnable action) {
        long atMicros = nowMicros + Math.round(millis * MICROS_PER_MILLI);
        events.add(new Event(atMicros, sequence, action));
        sequence++;
    }

    void runUntil(long micros) {
        while (!events.isEmpty() && events.peek().atMicros() <= micros) {
            Event next = events.remove();
            nowMicros = next.atMicros();
            next.action().run();
        }
    }
}
