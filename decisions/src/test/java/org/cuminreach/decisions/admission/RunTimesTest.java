package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Simulates calls whose running times differ tenfold between routes, at 1.5 times the load that the
 * slots can run.
 */
class RunTimesTest {
    private static final int SLOTS = 9;
    private static final long SHORT_MILLIS = 30;
    private static final long LONG_MILLIS = 300;
    private static final long LONG_DEADLINE_MILLIS = 800;
    private static final double OVERLOAD = 1.5;
    private static final int CALLS = 4_000;

    private record Call(String route, long runMillis, AdmissionRequest request) {
        private long deadlineMillis() {
            return request.deadlineMillis();
        }
    }

    private record Running(Call call, long endMillis) {}

    @Example
    void slownessIsRelativeToTheRoute() {
        RunTimes runTimes = RunTimes.empty();
        assertThat(runTimes.slowness("short", 900)).isEqualTo(1.0);
        for (int call = 0; call < 50; call++) {
            runTimes.record("short", SHORT_MILLIS);
            runTimes.record("long", LONG_MILLIS);
        }

        assertThat(runTimes.slowness("short", 60)).isWithin(0.01).of(2);
        assertThat(runTimes.slowness("long", LONG_MILLIS)).isWithin(0.01).of(1);
    }

    /** Guards against slots wasted on calls whose callers give up before the end. */
    @Property(seed = "91", tries = 20)
    void startedCallsEndInTime(@ForAll long seed) {
        assertThat(inTimeShare(seed, true)).isAtLeast(0.99);
    }

    @Property(seed = "92", tries = 20)
    void moreCallsAreServedThanWithoutRunTimesByRoute(@ForAll long seed) {
        assertThat(servedCalls(seed, true)).isGreaterThan(servedCalls(seed, false));
    }

    private static double inTimeShare(long seed, boolean useRunTimes) {
        List<Running> completed = simulate(seed, useRunTimes);
        return (double) countInTime(completed) / completed.size();
    }

    private static long servedCalls(long seed, boolean useRunTimes) {
        return countInTime(simulate(seed, useRunTimes));
    }

    private static long countInTime(List<Running> completed) {
        return completed.stream()
                .filter(call -> call.endMillis() <= call.call().deadlineMillis())
                .count();
    }

    /** Simulates the load; a call ends at the latest when its caller gives up. */
    private static List<Running> simulate(long seed, boolean useRunTimes) {
        SplittableRandom random = new SplittableRandom(seed);
        FairQueue<Call> queue = FairQueue.ofSlots(SLOTS);
        RunTimes runTimes = RunTimes.empty();
        runTimes.record("long", LONG_MILLIS);
        PriorityQueue<Running> running =
                new PriorityQueue<>(
                        (first, second) -> Long.compare(first.endMillis(), second.endMillis()));
        List<Running> ended = new ArrayList<>();
        Caller caller = new Caller("10.0.0.1", "a");
        double now = 0;
        for (int number = 0; number < CALLS; number++) {
            now += random.nextDouble() * 2 * LONG_MILLIS / SLOTS / OVERLOAD;
            long millis = (long) now;
            while (!running.isEmpty() && running.peek().endMillis() <= millis) {
                complete(queue, running, ended, runTimes);
            }
            double typical =
                    useRunTimes ? Math.max(LONG_MILLIS, runTimes.typicalRunMillis("long")) : 0;
            AdmissionRequest request =
                    AdmissionRequest.withDeadline(
                            caller, millis + LONG_DEADLINE_MILLIS, typical, millis);
            Call call = new Call("long", LONG_MILLIS, request);
            AdmissionOutcome outcome = queue.offer(call, request, millis);
            queue.takeRefused();
            if (outcome instanceof AdmissionOutcome.Run) {
                start(running, call, millis);
            }
        }
        return ended;
    }

    private static void start(PriorityQueue<Running> running, Call call, long millis) {
        long giveUpMillis = call.deadlineMillis() + 1;
        running.add(
                new Running(
                        call, Math.min(millis + call.runMillis(), Math.max(giveUpMillis, millis))));
    }

    private static void complete(
            FairQueue<Call> queue,
            PriorityQueue<Running> running,
            List<Running> ended,
            RunTimes runTimes) {
        Running completed = running.poll();
        ended.add(completed);
        runTimes.record(completed.call().route(), completed.call().runMillis());
        List<Call> next =
                queue.release(
                        completed.call().request(),
                        completed.call().runMillis(),
                        1,
                        completed.endMillis());
        queue.takeRefused();
        next.forEach(call -> start(running, call, completed.endMillis()));
    }
}
