package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

/**
 * Simulates a target that for some time refuses a share of its calls as soon as they arrive, or
 * resets their connections at random times. The running time of the others does not depend on how
 * many run at once.
 */
class SheddingTargetTest {
    private static final int SLOTS = 6;
    private static final double WORK_MILLIS = 60;
    private static final long REFUSAL_MILLIS = 1;
    private static final int OBJECTIVE_MILLIS = 200;
    private static final int DEADLINE_MILLIS = 600;
    private static final long SHEDS_FROM_MILLIS = 5_000;
    private static final long SHEDS_UNTIL_MILLIS = 13_500;
    private static final long DURATION_MILLIS = 20_000;
    private static final long TIMER_INTERVAL_MILLIS = 50;

    private enum Failure {
        REFUSAL,
        RESET
    }

    /** A call that ends after some time, which is its work unless it fails. */
    private record Call(AdmissionRequest request, boolean fails, double millis) {}

    private record Running(Call call, long endMillis) {}

    private static final class Simulation {
        private final FairQueue<Call> queue = FairQueue.ofSlots(SLOTS);
        private final PriorityQueue<Running> running =
                new PriorityQueue<>((one, other) -> Long.compare(one.endMillis, other.endMillis));
        private final SplittableRandom random;
        private final double failedShare;
        private final Failure failure;
        private int lowestLimit = SLOTS;
        private int failed;

        private Simulation(long seed, double failedShare, Failure failure) {
            random = new SplittableRandom(seed);
            this.failedShare = failedShare;
            this.failure = failure;
        }

        private void run(double utilisation) {
            double callsPerMilli = utilisation * SLOTS / WORK_MILLIS;
            for (long now = 0; now < DURATION_MILLIS; now++) {
                end(now);
                if (now % TIMER_INTERVAL_MILLIS == 0) {
                    queue.expire(now);
                    start(queue.startWaiting(now), now);
                }
                if (random.nextDouble() < callsPerMilli) {
                    offer(now);
                }
                lowestLimit = Math.min(lowestLimit, queue.limit());
            }
        }

        private void offer(long now) {
            AdmissionRequest request =
                    new AdmissionRequest(
                            new Caller("10.0.0." + random.nextInt(10), ""),
                            "route",
                            1,
                            now,
                            now + OBJECTIVE_MILLIS,
                            now + DEADLINE_MILLIS,
                            WORK_MILLIS);
            boolean sheds = now >= SHEDS_FROM_MILLIS && now < SHEDS_UNTIL_MILLIS;
            boolean fails = sheds && random.nextDouble() < failedShare;
            double work = WORK_MILLIS * (0.5 + random.nextDouble());
            Call call = new Call(request, fails, fails ? failureMillis(work) : work);
            if (queue.offer(call, request, now) instanceof AdmissionOutcome.Run) {
                start(List.of(call), now);
            }
        }

        private double failureMillis(double workMillis) {
            return switch (failure) {
                case REFUSAL -> REFUSAL_MILLIS;
                case RESET -> workMillis * random.nextDouble();
            };
        }

        private void start(List<Call> calls, long now) {
            for (Call call : calls) {
                running.add(new Running(call, now + Math.round(call.millis())));
            }
        }

        private void end(long now) {
            while (!running.isEmpty() && running.peek().endMillis() <= now) {
                start(release(running.poll().call(), now), now);
            }
        }

        private List<Call> release(Call call, long now) {
            double slowness = call.millis() / WORK_MILLIS;
            if (call.fails()) {
                failed++;
                return queue.releaseFailed(call.request(), call.millis(), slowness, now);
            }
            return queue.release(call.request(), call.millis(), slowness, now);
        }
    }

    @Property(seed = "491", tries = 20)
    void targetThatShedsCallsKeepsItsSlots(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 0.7, max = 2) double utilisation,
            @ForAll @DoubleRange(min = 0.3, max = 0.9) double shedShare) {
        Simulation simulation = new Simulation(seed, shedShare, Failure.REFUSAL);
        simulation.run(utilisation);

        assertThat(simulation.failed).isGreaterThan(0);
        assertThat(simulation.lowestLimit).isEqualTo(SLOTS);
    }

    @Property(seed = "491", tries = 20)
    void targetThatResetsConnectionsAtRandomTimesKeepsItsSlots(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 0.7, max = 2) double utilisation,
            @ForAll @DoubleRange(min = 0.3, max = 0.9) double resetShare) {
        Simulation simulation = new Simulation(seed, resetShare, Failure.RESET);
        simulation.run(utilisation);

        assertThat(simulation.failed).isGreaterThan(0);
        assertThat(simulation.lowestLimit).isEqualTo(SLOTS);
    }

    /** Guards against waits that are taken for short, so that calls are held in vain. */
    @Example
    void refusalsOfTargetDoNotShortenExpectedWait() {
        FairQueue<String> queue = FairQueue.ofSlots(1);
        Caller caller = new Caller("10.0.0.1", "");
        AdmissionRequest request = AdmissionRequest.withDeadline(caller, 100_000, 0, 0);
        for (int call = 0; call < 50; call++) {
            queue.offer("answered", request, 0);
            queue.release(request, WORK_MILLIS, 1, 0);
        }
        for (int call = 0; call < 50; call++) {
            queue.offer("refused", request, 0);
            queue.releaseFailed(request, REFUSAL_MILLIS, REFUSAL_MILLIS / WORK_MILLIS, 0);
        }

        assertThat(queue.expectedWaitsMillis(0).getFirst()).isAtLeast((int) (0.9 * WORK_MILLIS));
    }

    /** Calls that the target never answers are cut at their deadline. */
    @Example
    void targetThatStopsAnsweringGetsFewerCalls() {
        FairQueue<String> queue = FairQueue.ofSlots(SLOTS);
        AdmissionRequest request =
                AdmissionRequest.withDeadline(new Caller("10.0.0.1", ""), 100_000, 0, 0);
        for (int call = 0; call < 100; call++) {
            queue.offer("answered", request, call);
            queue.release(request, WORK_MILLIS, 1, call);
        }
        for (int call = 0; call < 50; call++) {
            queue.offer("cut", request, 100 + call);
            queue.releaseFailed(
                    request, DEADLINE_MILLIS, DEADLINE_MILLIS / WORK_MILLIS, 100 + call);
        }

        assertThat(queue.limit()).isLessThan(SLOTS);
    }
}
