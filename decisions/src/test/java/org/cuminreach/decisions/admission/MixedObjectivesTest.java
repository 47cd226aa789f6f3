package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Simulates half a minute of slight overload by calls of one priority with unequal objectives. */
class MixedObjectivesTest {
    private static final int SLOTS = 6;
    private static final double OVERLOAD = 1.1;
    private static final long DURATION_MILLIS = 30_000;
    private static final long TIMER_INTERVAL_MILLIS = 50;

    /** Share of its objective that a refused call may have waited. */
    private static final double MAX_WAIT_SHARE = 1.0 / 8;

    /** Type of call, with its share of the target's work. */
    private record CallType(
            String route,
            double workMillis,
            int objectiveMillis,
            int deadlineMillis,
            double share) {}

    private static final List<CallType> TYPES =
            List.of(
                    new CallType("stock", 55, 200, 600, 0.57),
                    new CallType("view", 75, 500, 1_000, 0.23),
                    new CallType("photo", 220, 1_500, 3_000, 0.2));

    private record Call(CallType type, AdmissionRequest request, double workMillis) {}

    private record Running(Call call, double endMillis) {}

    private static final class Refusals {
        private int calls;
        private long waitMillis;

        private void record(long millis) {
            calls++;
            waitMillis += millis;
        }
    }

    private static final class Simulation {
        private final FairQueue<Call> queue = FairQueue.ofSlots(SLOTS);
        private final RunTimes runTimes = RunTimes.empty();
        private final PriorityQueue<Running> running =
                new PriorityQueue<>((one, other) -> Double.compare(one.endMillis, other.endMillis));
        private final Map<CallType, Refusals> refusals = new HashMap<>();
        private final SplittableRandom random;

        private Simulation(long seed) {
            random = new SplittableRandom(seed);
            TYPES.forEach(type -> refusals.put(type, new Refusals()));
        }

        private void run() {
            for (long now = 0; now < DURATION_MILLIS; now++) {
                end(now);
                if (now % TIMER_INTERVAL_MILLIS == 0) {
                    recordRefused(queue.expire(now), now);
                    start(queue.startWaiting(now), now);
                }
                for (CallType type : TYPES) {
                    double callsPerMilli = SLOTS * OVERLOAD * type.share() / type.workMillis();
                    if (random.nextDouble() < callsPerMilli) {
                        offer(type, now);
                    }
                }
            }
        }

        private void offer(CallType type, long now) {
            AdmissionRequest request =
                    new AdmissionRequest(
                            new Caller("10.0.0." + random.nextInt(20), ""),
                            type.route(),
                            1,
                            now,
                            now + type.objectiveMillis(),
                            now + type.deadlineMillis(),
                            runTimes.typicalRunMillis(type.route()));
            double work = type.workMillis() * (0.4 + 1.2 * random.nextDouble());
            Call call = new Call(type, request, work);
            AdmissionOutcome outcome = queue.offer(call, request, now);
            recordRefused(queue.takeRefused(), now);
            switch (outcome) {
                case AdmissionOutcome.Run run -> start(List.of(call), now);
                case AdmissionOutcome.Refused refused -> refusals.get(type).record(0);
                case AdmissionOutcome.Queued queued -> {}
            }
        }

        private void start(List<Call> calls, long now) {
            calls.forEach(call -> running.add(new Running(call, now + call.workMillis())));
        }

        private void end(long now) {
            while (!running.isEmpty() && running.peek().endMillis() <= now) {
                Call call = running.poll().call();
                double slowness = runTimes.slowness(call.type().route(), call.workMillis());
                runTimes.record(call.type().route(), call.workMillis());
                start(queue.release(call.request(), call.workMillis(), slowness, now), now);
                recordRefused(queue.takeRefused(), now);
            }
        }

        private void recordRefused(List<RefusedCall<Call>> refused, long now) {
            for (RefusedCall<Call> each : refused) {
                Call call = each.call();
                refusals.get(call.type()).record(now - call.request().arrivedMillis());
            }
        }
    }

    /** Guards against calls that wait for a slot they cannot get in time. */
    @Property(seed = "492", tries = 10)
    void refusedCallsOfNoRouteWereKeptWaiting(@ForAll long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run();

        for (CallType type : TYPES) {
            Refusals refused = simulation.refusals.get(type);
            double allowedMillis = MAX_WAIT_SHARE * type.objectiveMillis() * refused.calls;
            assertThat((double) refused.waitMillis).isAtMost(allowedMillis);
        }
    }
}
