package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.cuminreach.decisions.routing.CallRateLimit;

/** Simulates a target with 9 slots that states a limit far below the calls that come for it. */
class LimitedTargetTest {
    private static final int SLOTS = 9;
    private static final double WORK_MILLIS = 120;
    private static final int OBJECTIVE_MILLIS = 400;
    private static final int DEADLINE_MILLIS = 1_000;
    private static final long DURATION_MILLIS = 20_000;
    private static final long TIMER_INTERVAL_MILLIS = 50;
    private static final long WINDOW_MILLIS = 4_000;
    private static final Caller FIRST = new Caller("10.0.0.1", "shop");
    private static final Caller SECOND = new Caller("10.0.0.2", "shop");

    private record Call(Caller caller, int priority, AdmissionRequest request) {}

    private record Running(Call call, long endMillis) {}

    private static final class Simulation {
        private final FairQueue<Call> queue = FairQueue.ofSlots(SLOTS);
        private final PriorityQueue<Running> running =
                new PriorityQueue<>((one, other) -> Long.compare(one.endMillis, other.endMillis));
        private final List<Long> starts = new ArrayList<>();
        private final Map<Caller, Integer> startsByCaller = new HashMap<>();
        private final Map<Integer, Integer> startsByPriority = new HashMap<>();
        private final List<Long> refusalWaitsMillis = new ArrayList<>();
        private final SplittableRandom random;

        private Simulation(long seed) {
            random = new SplittableRandom(seed);
        }

        private void limit(double callsPerSecond, long nowMillis) {
            queue.setRateLimit(new CallRateLimit.PerSecond(callsPerSecond), nowMillis);
        }

        /** Offers calls of some callers, each at its own rate, from one time to another. */
        private void run(Map<Caller, Double> callsPerSecond, int priority, long from, long to) {
            for (long now = from; now < to; now++) {
                end(now);
                if (now % TIMER_INTERVAL_MILLIS == 0) {
                    recordRefused(queue.expire(now), now);
                    start(queue.startWaiting(now), now);
                }
                for (Map.Entry<Caller, Double> entry : callsPerSecond.entrySet()) {
                    if (random.nextDouble() < entry.getValue() / 1_000) {
                        offer(entry.getKey(), priority, now);
                    }
                }
            }
        }

        private AdmissionOutcome offer(Caller caller, int priority, long now) {
            AdmissionRequest request =
                    new AdmissionRequest(
                            caller,
                            "route-" + priority,
                            priority,
                            now,
                            now + OBJECTIVE_MILLIS,
                            now + DEADLINE_MILLIS,
                            WORK_MILLIS);
            Call call = new Call(caller, priority, request);
            AdmissionOutcome outcome = queue.offer(call, request, now);
            recordRefused(queue.takeRefused(), now);
            switch (outcome) {
                case AdmissionOutcome.Run run -> start(List.of(call), now);
                case AdmissionOutcome.Refused refused -> refusalWaitsMillis.add(0L);
                case AdmissionOutcome.Queued queued -> {}
            }
            return outcome;
        }

        private void start(List<Call> calls, long now) {
            for (Call call : calls) {
                starts.add(now);
                startsByCaller.merge(call.caller(), 1, Integer::sum);
                startsByPriority.merge(call.priority(), 1, Integer::sum);
                double work = WORK_MILLIS * (0.5 + random.nextDouble());
                running.add(new Running(call, now + Math.round(work)));
            }
        }

        private void end(long now) {
            while (!running.isEmpty() && running.peek().endMillis() <= now) {
                Running ended = running.poll();
                start(queue.release(ended.call().request(), WORK_MILLIS, 1, now), now);
                recordRefused(queue.takeRefused(), now);
            }
        }

        private void recordRefused(List<RefusedCall<Call>> refused, long now) {
            refused.forEach(
                    each -> refusalWaitsMillis.add(now - each.call().request().arrivedMillis()));
        }

        private int mostStartsInWindow() {
            Deque<Long> window = new ArrayDeque<>();
            int most = 0;
            for (long start : starts) {
                window.addLast(start);
                while (window.getFirst() <= start - WINDOW_MILLIS) {
                    window.removeFirst();
                }
                most = Math.max(most, window.size());
            }
            return most;
        }
    }

    /** Bound of the users' rule for any four seconds. */
    private static double allowedInWindow(double limit) {
        return 1.5 * limit * WINDOW_MILLIS / 1_000 + 5;
    }

    @Property(seed = "252", tries = 20)
    void limitIsExceededInNoWindow(
            @ForAll long seed, @ForAll @DoubleRange(min = 0, max = 60) double limit) {
        Simulation simulation = new Simulation(seed);
        simulation.limit(limit, 0);
        simulation.run(Map.of(FIRST, 60.0, SECOND, 60.0), 2, 0, DURATION_MILLIS);

        assertThat((double) simulation.mostStartsInWindow()).isAtMost(allowedInWindow(limit));
    }

    @Property(seed = "253", tries = 20)
    void limitIsUsedUpWhileMoreCallsCome(
            @ForAll long seed, @ForAll @DoubleRange(min = 5, max = 50) double limit) {
        Simulation simulation = new Simulation(seed);
        simulation.limit(limit, 0);
        simulation.run(Map.of(FIRST, 60.0, SECOND, 60.0), 2, 0, DURATION_MILLIS);

        double servable = limit * DURATION_MILLIS / 1_000;
        assertThat(simulation.starts.size()).isAtLeast((int) (0.85 * servable));
    }

    /** Refused calls waited an eighth of their objective at most on average. */
    @Property(seed = "254", tries = 20)
    void callsWithoutRoomAreNotKeptWaiting(@ForAll long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.limit(15, 0);
        simulation.run(Map.of(FIRST, 30.0, SECOND, 30.0), 2, 0, DURATION_MILLIS);

        double meanWait =
                simulation.refusalWaitsMillis.stream().mapToLong(wait -> wait).average().orElse(0);
        assertThat(meanWait).isAtMost(OBJECTIVE_MILLIS / 8.0);
    }

    @Property(seed = "255", tries = 20)
    void busyCallerDoesNotTakeTheRoomOfAnother(@ForAll long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.limit(20, 0);
        simulation.run(Map.of(FIRST, 100.0, SECOND, 15.0), 2, 0, DURATION_MILLIS);

        double fairShare = 20.0 * DURATION_MILLIS / 1_000 / 2;
        assertThat(simulation.startsByCaller.get(SECOND)).isAtLeast((int) (0.8 * fairShare));
    }

    @Example
    void retryAfterOfRefusalFollowsFromLimit() {
        Simulation simulation = new Simulation(1);
        simulation.limit(5, 0);
        AdmissionOutcome outcome = new AdmissionOutcome.Run();
        for (int call = 0; !(outcome instanceof AdmissionOutcome.Refused); call++) {
            assertThat(call).isLessThan(SLOTS);
            outcome = simulation.offer(FIRST, 2, 0);
        }
        long retryAfter = ((AdmissionOutcome.Refused) outcome).retryAfterMillis();
        simulation.run(Map.of(), 2, 0, retryAfter);

        assertThat(retryAfter).isAtLeast(100);
        assertThat(simulation.offer(FIRST, 2, retryAfter))
                .isNotInstanceOf(AdmissionOutcome.Refused.class);
    }

    @Example
    void targetWithLimitOfZeroIsStillAskedAtTimes() {
        Simulation simulation = new Simulation(2);
        simulation.limit(0, 0);
        simulation.run(Map.of(FIRST, 20.0), 2, 0, DURATION_MILLIS);

        assertThat(simulation.starts.size()).isAtLeast(5);
        assertThat((double) simulation.mostStartsInWindow()).isAtMost(allowedInWindow(0));
    }

    @Example
    void waitsAreReportedOnlyBehindCallsOrLimit() {
        FairQueue<String> queue = FairQueue.ofSlots(1);
        queue.offer("running", FIRST, 10_000, 0);
        assertThat(queue.hasWaits(0)).isFalse();

        queue.setRateLimit(new CallRateLimit.PerSecond(10), 0);
        assertThat(queue.hasWaits(0)).isTrue();
        assertThat(queue.hasWaits(100)).isFalse();
    }

    @Example
    void endOfLimitStartsWaitingCalls() {
        Simulation simulation = new Simulation(3);
        simulation.limit(10, 0);
        simulation.run(Map.of(FIRST, 40.0), 2, 0, 5_000);
        int limited = simulation.starts.size();
        simulation.queue.setRateLimit(CallRateLimit.unlimited(), 5_000);
        simulation.run(Map.of(FIRST, 40.0), 2, 5_000, 10_000);

        assertThat(simulation.starts.size() - limited).isAtLeast(3 * limited);
    }

    @Property(seed = "256", tries = 10)
    void urgentCallsComeFirstUnderLimit(@ForAll long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.limit(20, 0);
        for (long now = 0; now < DURATION_MILLIS; now += 10) {
            simulation.run(Map.of(FIRST, 15.0), 1, now, now + 5);
            simulation.run(Map.of(SECOND, 60.0), 2, now + 5, now + 10);
        }
        double urgentOffered = 15.0 * DURATION_MILLIS / 1_000 / 2;

        assertThat(simulation.startsByPriority.get(1)).isAtLeast((int) (0.8 * urgentOffered));
    }

    @Example
    void callThatWasNotSentLeavesItsRoomToAnother() {
        Simulation simulation = new Simulation(4);
        simulation.limit(4, 0);
        assertThat(simulation.offer(FIRST, 2, 1_000)).isInstanceOf(AdmissionOutcome.Run.class);
        simulation.queue.cancelStart();

        assertThat(simulation.offer(FIRST, 2, 1_000)).isInstanceOf(AdmissionOutcome.Run.class);
    }
}
