package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Answers the load of calls that differ tenfold by route, at 1.5 times what the slots can run. */
class ServiceTimesTest {
    private static final int SLOTS = 9;
    private static final long SHORT_MILLIS = 30;
    private static final long LONG_MILLIS = 300;
    private static final long LONG_DEADLINE_MILLIS = 800;
    private static final double OVERLOAD = 1.5;
    private static final int CALLS = 4_000;

    /** A call and when its caller gives up. */
    private record Call(String route, long runMillis, AdmissionRequest request) {
        private long deadlineMillis() {
            return request.deadlineMillis();
        }
    }

    /** A call at the target. */
    private record Running(Call call, long endMillis) {}

    @Example
    void slownessIsRelativeToTheRoute() {
        ServiceTimes times = ServiceTimes.unknown();
        assertThat(times.slowness("short", 900)).isEqualTo(1.0);
        for (int call = 0; call < 50; call++) {
            times.record("short", SHORT_MILLIS);
            times.record("long", LONG_MILLIS);
        }

        assertThat(times.slowness("short", 60)).isWithin(0.01).of(2);
        assertThat(times.slowness("long", LONG_MILLIS)).isWithin(0.01).of(1);
    }

    /** Slots that are spent on calls whose callers give up meanwhile serve nobody. */
    @Property(seed = "91", tries = 20)
    void startedCallsEndInTime(@ForAll long seed) {
        assertThat(inTimeShare(seed, true)).isAtLeast(0.99);
    }

    @Property(seed = "92", tries = 20)
    void moreCallsAreServedThanWithoutRunTimesByRoute(@ForAll long seed) {
        assertThat(servedCalls(seed, true)).isGreaterThan(servedCalls(seed, false));
    }

    private static double inTimeShare(long seed, boolean known) {
        List<Running> ran = simulate(seed, known);
        return (double) countInTime(ran) / ran.size();
    }

    private static long servedCalls(long seed, boolean known) {
        return countInTime(simulate(seed, known));
    }

    private static long countInTime(List<Running> ran) {
        return ran.stream().filter(one -> one.endMillis() <= one.call().deadlineMillis()).count();
    }

    /** Plays the load; a call that its caller gives up on is cut at that time. */
    private static List<Running> simulate(long seed, boolean known) {
        SplittableRandom random = new SplittableRandom(seed);
        FairQueue<Call> queue = FairQueue.ofSlots(SLOTS);
        ServiceTimes times = ServiceTimes.unknown();
        times.record("long", LONG_MILLIS);
        PriorityQueue<Running> running =
                new PriorityQueue<>(
                        (one, other) -> Long.compare(one.endMillis(), other.endMillis()));
        List<Running> ended = new ArrayList<>();
        Caller caller = new Caller("10.0.0.1", "a");
        double now = 0;
        for (int number = 0; number < CALLS; number++) {
            now += random.nextDouble() * 2 * LONG_MILLIS / SLOTS / OVERLOAD;
            long millis = (long) now;
            while (!running.isEmpty() && running.peek().endMillis() <= millis) {
                complete(queue, running, ended, times);
            }
            double usual = known ? Math.max(LONG_MILLIS, times.typicalRunMillis("long")) : 0;
            AdmissionRequest demand =
                    AdmissionRequest.withDeadline(
                            caller, millis + LONG_DEADLINE_MILLIS, usual, millis);
            Call call = new Call("long", LONG_MILLIS, demand);
            AdmissionOutcome outcome = queue.offer(call, demand, millis);
            queue.takeRefused();
            if (outcome instanceof AdmissionOutcome.Run) {
                start(running, call, millis);
            }
        }
        return ended;
    }

    private static void start(PriorityQueue<Running> running, Call call, long millis) {
        long cut = call.deadlineMillis() + 1;
        running.add(new Running(call, Math.min(millis + call.runMillis(), Math.max(cut, millis))));
    }

    private static void complete(
            FairQueue<Call> queue,
            PriorityQueue<Running> running,
            List<Running> ended,
            ServiceTimes times) {
        Running done = running.poll();
        ended.add(done);
        times.record(done.call().route(), done.call().runMillis());
        List<Call> next =
                queue.release(done.call().request(), done.call().runMillis(), 1, done.endMillis());
        queue.takeRefused();
        next.forEach(call -> start(running, call, done.endMillis()));
    }
}
