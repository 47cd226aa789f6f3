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
    private static final double NOISY_FACTOR = 50;
    private static final double MEAN_SERVICE_MILLIS = 5;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final long END_MICROS = 60_000_000;
    private static final int MAX_WAITING = 72;

    /** How the storm names itself. */
    private enum NoisyCaller {
        NONE,
        SINGLE_NAME,
        FORGED_NAMES
    }

    /** A call at the target. */
    private record Arrival(Caller caller, boolean quiet, double work, long arrivedMicros) {}

    /** A plain queue of the same length, as the baseline. */
    private static final class FifoQueue {
        private final Deque<Arrival> waiting = new ArrayDeque<>();
        private int running;
    }

    private final SimulatedClock clock = new SimulatedClock();
    private final Random random = new Random(SEED);
    private final Histogram quietMicros = new Histogram(END_MICROS, 3);
    private final boolean fair;
    private final NoisyCaller noisyCaller;
    private final FairQueue<Arrival> fairQueue = FairQueue.ofSlots(SLOTS);
    private final FifoQueue fifoQueue = new FifoQueue();
    private long quietRefused;
    private long noisyAnswered;
    private long noisyRefused;
    private int maxSources;
    private int calls;

    private FairnessMain(boolean fair, NoisyCaller storm) {
        this.fair = fair;
        this.noisyCaller = storm;
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
        for (NoisyCaller storm : NoisyCaller.values()) {
            for (boolean fair : List.of(false, true)) {
                new FairnessMain(fair, storm).run();
            }
        }
    }

    private void run() {
        clock.schedule(0, this::quietCall);
        if (noisyCaller != NoisyCaller.NONE) {
            clock.schedule(0, this::noisyCall);
        }
        clock.schedule(20, this::onTimer);
        clock.runUntil(END_MICROS);
        long quiet = quietMicros.getTotalCount() + quietRefused;
        System.out.printf(
                "%-14s %-6s %10.1f %10.1f %10.2f %10.2f %8d%n",
                noisyCaller,
                fair ? "fair" : "plain",
                quietMicros.getValueAtPercentile(50) / 1e3,
                quietMicros.getValueAtPercentile(99) / 1e3,
                100.0 * quietRefused / quiet,
                100.0 * noisyRefused / Math.max(1, noisyRefused + noisyAnswered),
                maxSources);
    }

    private void quietCall() {
        double gap = MEAN_SERVICE_MILLIS / (SLOTS * QUIET_LOAD);
        clock.schedule(-gap * Math.log(1 - random.nextDouble()), this::quietCall);
        arrive(new Caller("10.0.0." + random.nextInt(QUIET_CALLERS), ""), true);
    }

    private void noisyCall() {
        double gap = MEAN_SERVICE_MILLIS / (SLOTS * QUIET_LOAD * NOISY_FACTOR / QUIET_CALLERS);
        clock.schedule(-gap * Math.log(1 - random.nextDouble()), this::noisyCall);
        calls++;
        String name = noisyCaller == NoisyCaller.FORGED_NAMES ? "name-" + calls : "";
        arrive(new Caller("10.0.9.9", name), false);
    }

    private void arrive(Caller caller, boolean quiet) {
        double work = MEAN_SERVICE_MILLIS / 2 * (1 - Math.log(1 - random.nextDouble()));
        Arrival arrival = new Arrival(caller, quiet, work, clock.nowMicros());
        if (!fair) {
            arriveFifo(arrival);
            return;
        }
        long deadline = clock.nowMillis() + CALL_TIMEOUT_MILLIS;
        switch (fairQueue.offer(arrival, caller, deadline, clock.nowMillis())) {
            case AdmissionOutcome.Run run -> start(arrival);
            case AdmissionOutcome.Queued queued ->
                    maxSources = Math.max(maxSources, fairQueue.sources());
            case AdmissionOutcome.Refused refused -> refuse(arrival);
        }
        fairQueue.takeRefused().forEach(refused -> refuse(refused.call()));
    }

    private void arriveFifo(Arrival arrival) {
        if (fifoQueue.running < SLOTS) {
            fifoQueue.running++;
            start(arrival);
        } else if (fifoQueue.waiting.size() < MAX_WAITING) {
            fifoQueue.waiting.add(arrival);
        } else {
            refuse(arrival);
        }
    }

    private void start(Arrival arrival) {
        clock.schedule(arrival.work(), () -> end(arrival));
    }

    private void end(Arrival arrival) {
        if (arrival.quiet()) {
            quietMicros.recordValue(clock.nowMicros() - arrival.arrivedMicros());
        } else {
            noisyAnswered++;
        }
        if (fair) {
            fairQueue
                    .release(arrival.caller(), arrival.work(), clock.nowMillis())
                    .forEach(this::start);
            fairQueue.takeRefused().forEach(refused -> refuse(refused.call()));
        } else if (fifoQueue.waiting.isEmpty()) {
            fifoQueue.running--;
        } else {
            start(fifoQueue.waiting.removeFirst());
        }
    }

    private void refuse(Arrival arrival) {
        if (arrival.quiet()) {
            quietRefused++;
        } else {
            noisyRefused++;
        }
    }

    private void onTimer() {
        fairQueue.expire(clock.nowMillis()).forEach(refused -> refuse(refused.call()));
        clock.schedule(20, this::onTimer);
    }
}
