package org.cuminreach.trial.balancing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.cuminreach.decisions.admission.AdmissionOutcome;
import org.cuminreach.decisions.admission.Caller;
import org.cuminreach.decisions.admission.FairQueue;

/**
 * Measures how one noisy caller affects the quiet callers of a target, with the fair queue and with
 * a FIFO queue as the baseline.
 */
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

    /** The names under which the noisy caller sends its calls. */
    private enum NoisyCaller {
        NONE,
        SINGLE_NAME,
        FORGED_NAMES
    }

    /** A call that waits or runs at the target. */
    private record Arrival(Caller caller, boolean quiet, double workMillis, long arrivedMicros) {}

    /** A FIFO queue of the same length, used as the baseline. */
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

    private FairnessMain(boolean fair, NoisyCaller noisyCaller) {
        this.fair = fair;
        this.noisyCaller = noisyCaller;
    }

    /**
     * Prints a table.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        System.out.printf(
                "%-14s %-6s %10s %10s %10s %10s %8s%n",
                "noisy caller", "queue", "p50 ms", "p99 ms", "refused %", "noisy ref%", "sources");
        for (NoisyCaller noisyCaller : NoisyCaller.values()) {
            for (boolean fair : List.of(false, true)) {
                new FairnessMain(fair, noisyCaller).run();
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
        long quietCalls = quietMicros.getTotalCount() + quietRefused;
        System.out.printf(
                "%-14s %-6s %10.1f %10.1f %10.2f %10.2f %8d%n",
                noisyCaller,
                fair ? "fair" : "fifo",
                quietMicros.getValueAtPercentile(50) / 1e3,
                quietMicros.getValueAtPercentile(99) / 1e3,
                100.0 * quietRefused / quietCalls,
                100.0 * noisyRefused / Math.max(1, noisyRefused + noisyAnswered),
                maxSources);
    }

    private void quietCall() {
        double meanIntervalMillis = MEAN_SERVICE_MILLIS / (SLOTS * QUIET_LOAD);
        clock.schedule(-meanIntervalMillis * Math.log(1 - random.nextDouble()), this::quietCall);
        arrive(new Caller("10.0.0." + random.nextInt(QUIET_CALLERS), ""), true);
    }

    private void noisyCall() {
        double meanIntervalMillis =
                MEAN_SERVICE_MILLIS / (SLOTS * QUIET_LOAD * NOISY_FACTOR / QUIET_CALLERS);
        clock.schedule(-meanIntervalMillis * Math.log(1 - random.nextDouble()), this::noisyCall);
        calls++;
        String name = noisyCaller == NoisyCaller.FORGED_NAMES ? "name-" + calls : "";
        arrive(new Caller("10.0.9.9", name), false);
    }

    private void arrive(Caller caller, boolean quiet) {
        double workMillis = MEAN_SERVICE_MILLIS / 2 * (1 - Math.log(1 - random.nextDouble()));
        Arrival arrival = new Arrival(caller, quiet, workMillis, clock.nowMicros());
        if (!fair) {
            arriveFifo(arrival);
            return;
        }
        long deadlineMillis = clock.nowMillis() + CALL_TIMEOUT_MILLIS;
        switch (fairQueue.offer(arrival, caller, deadlineMillis, clock.nowMillis())) {
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
        clock.schedule(arrival.workMillis(), () -> end(arrival));
    }

    private void end(Arrival arrival) {
        if (arrival.quiet()) {
            quietMicros.recordValue(clock.nowMicros() - arrival.arrivedMicros());
        } else {
            noisyAnswered++;
        }
        if (fair) {
            fairQueue
                    .release(arrival.caller(), arrival.workMillis(), clock.nowMillis())
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
