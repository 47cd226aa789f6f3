package org.cuminreach.trial.benchmark;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cuminreach.decisions.admission.AdmissionOutcome;
import org.cuminreach.decisions.admission.Caller;
import org.cuminreach.decisions.admission.FairQueue;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time and allocation of admitting a call and of releasing its slot. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class AdmissionBenchmark {
    private static final int SLOTS = 9;
    private static final int SOURCES = 40;
    private static final long DEADLINE_MILLIS = 1_000_000;
    private static final double SERVICE_MILLIS = 5;

    private final Caller[] callers = new Caller[SOURCES];
    private final FairQueue<Caller> idleQueue = FairQueue.ofSlots(SLOTS);
    private final FairQueue<Caller> fullQueue = FairQueue.ofSlots(SLOTS);
    private Caller running;
    private int next;

    /** Fills one of the queues with one call of each source. */
    @Setup(Level.Trial)
    public void fill() {
        for (int source = 0; source < SOURCES; source++) {
            callers[source] = new Caller("10.0.0." + source, "");
            fullQueue.offer(callers[source], callers[source], DEADLINE_MILLIS, 0);
        }
        running = callers[0];
    }

    /**
     * Admits a call to an idle target and releases its slot.
     *
     * @return the calls started by the release: none
     */
    @Benchmark
    public List<Caller> idle() {
        AdmissionOutcome ignored = idleQueue.offer(callers[0], callers[0], DEADLINE_MILLIS, 0);
        return idleQueue.release(callers[0], SERVICE_MILLIS, 0);
    }

    /**
     * Queues a call of one of 40 waiting sources and starts the next call.
     *
     * @return the call that started
     */
    @Benchmark
    public Caller contended() {
        next = (next + 1) % SOURCES;
        AdmissionOutcome ignored =
                fullQueue.offer(callers[next], callers[next], DEADLINE_MILLIS, 0);
        running = fullQueue.release(running, SERVICE_MILLIS, 0).get(0);
        return running;
    }
}
