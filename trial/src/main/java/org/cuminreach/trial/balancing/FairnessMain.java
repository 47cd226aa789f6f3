package org.cuminreach.trial.balancing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.cuminreach.decisions.admission.AdmissionOutcome;
import org.cuminreach.decisions.admission.Caller;
import org.cuminreach.decisions.admission.FairQueue;

/** Measures what one caller's storm costs quiet callers of a target, against a plain queue. */
public final class FairnessMain {
    private static final long SEED = 6;
    private static final int SLOTS = 9;
    private static final int QUIET_CALLERS = 20;
    private static final double QUIET_LOAD = 0.4;
    private static final double STORM_FACTOR = 50;
    private static final double MEAN_SERVICE_MILLIS = 5;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final long END_MICROS = 60_000_000;
    private static final int MOST_WAITING = 72;

    /** How the storm names itself. */
    private enum Storm {
        NONE,
        ONE_NAME,
        MADE_UP_NAMES
    }

    /** A call at the target. */
    private record Arrival(Caller caller, boolean quiet, double work, long arrivedMicros) {}

    /** A plain queue of the same length, as the baseline. */
    private static final class PlainQueue {
        private final Deque<Arrival> waiting = new ArrayDeque<>();
        private int running;
    }

    private final EventClock clock = new EventClock();
    private final Random random = new Random(SEED);
    private final Histogram quietMicros = new Histogram(END_MICROS, 3);
    private final boolean fair;
    private final Storm storm;
    private final FairQueue<Arrival> fairQueue = FairQueue.ofSlots(SLOTS);
    private final PlainQueue plainQueue = new PlainQueue();
    private long quietRefused;
    private long stormAnswered;
    private long stormRefused;
    private int mostSources;
    private int calls;

    private FairnessMain(boolean fair, Storm storm) {
        this.fair = fair;
        this.storm = storm;
    }

    /**
     * Prints a table.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        System.out.printf(
                "%-14s %-6s %10s %10s %10s %10s %8s%n",
                "storm", "queue", "p50 ms", "p99 ms", "refused %", "storm ref%", "sources");
        for (Storm storm : Storm.values()) {
            for (boolean fair : List.of(false, true)) {
                new FairnessMain(fair, storm).run();
            }
        }
    }

    private void run() {
        clock.after(0, this::quietCall);
        if (storm != Storm.NONE) {
            clock.after(0, this::stormCall);
        }
        clock.after(20, this::tick);
        clock.runUntil(END_MICROS);
        long quiet = quietMicros.getTotalCount() + quietRefused;
        System.out.printf(
                "%-14s %-6s %10.1f %10.1f %10.2f %10.2f %8d%n",
                storm,
                fair ? "fair" : "plain",
                quietMicros.getValueAtPercentile(50) / 1e3,
                quietMicros.getValueAtPercentile(99) / 1e3,
                100.0 * quietRefused / quiet,
                100.0 * stormRefused / Math.max(1, stormRefused + stormAnswered),
                mostSources);
    }

    private void quietCall() {
        double gap = MEAN_SERVICE_MILLIS / (SLOTS * QUIET_LOAD);
        clock.after(-gap * Math.log(1 - random.nextDouble()), this::quietCall);
        arrive(new Caller("10.0.0." + random.nextInt(QUIET_CALLERS), ""), true);
    }

    private void stormCall() {
        double gap = MEAN_SERVICE_MILLIS / (SLOTS * QUIET_LOAD * STORM_FACTOR / QUIET_CALLERS);
        clock.after(-gap * Math.log(1 - random.nextDouble()), this::stormCall);
        calls++;
        String name = storm == Storm.MADE_UP_NAMES ? "name-" + calls : "";
        arrive(new Caller("10.0.9.9", name), false);
    }

    private void arrive(Caller caller, boolean quiet) {
        double work = MEAN_SERVICE_MILLIS / 2 * (1 - Math.log(1 - random.nextDouble()));
        Arrival arrival = new Arrival(caller, quiet, work, clock.nowMicros());
        if (!fair) {
            arrivePlain(arrival);
            return;
        }
        long deadline = clock.nowMillis() + CALL_TIMEOUT_MILLIS;
        switch (fairQueue.offer(arrival, caller, deadline, clock.nowMillis())) {
            case AdmissionOutcome.Run run -> start(arrival);
            case AdmissionOutcome.Queued queued ->
                    mostSources = Math.max(mostSources, fairQueue.sources());
            case AdmissionOutcome.Refused refused -> refuse(arrival);
        }
        fairQueue.takeRefused().forEach(refused -> refuse(refused.call()));
    }

    private void arrivePlain(Arrival arrival) {
        if (plainQueue.running < SLOTS) {
            plainQueue.running++;
            start(arrival);
        } else if (plainQueue.waiting.size() < MOST_WAITING) {
            plainQueue.waiting.add(arrival);
        } else {
            refuse(arrival);
        }
    }

    private void start(Arrival arrival) {
        clock.after(arrival.work(), () -> end(arrival));
    }

    private void end(Arrival arrival) {
        if (arrival.quiet()) {
            quietMicros.recordValue(clock.nowMicros() - arrival.arrivedMicros());
        } else {
            stormAnswered++;
        }
        if (fair) {
            fairQueue
                    .release(arrival.caller(), arrival.work(), clock.nowMillis())
                    .forEach(this::start);
            fairQueue.takeRefused().forEach(refused -> refuse(refused.call()));
        } else if (plainQueue.waiting.isEmpty()) {
            plainQueue.running--;
        } else {
            start(plainQueue.waiting.removeFirst());
        }
    }

    private void refuse(Arrival arrival) {
        if (arrival.quiet()) {
            quietRefused++;
        } else {
            stormRefused++;
        }
    }

    private void tick() {
        fairQueue.expire(clock.nowMillis()).forEach(refused -> refuse(refused.call()));
        clock.after(20, this::tick);
    }
}
