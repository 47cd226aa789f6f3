package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

/** What the elapsed times of calls without a success tell of the running times of a target. */
class FailedRunTimesTest {
    private static final int OBJECTIVE_MILLIS = 200;
    private static final int DEADLINE_MILLIS = 600;
    private static final int CUT_CALLS = 50;
    private static final int KNOWN_CALLS = 5;
    private static final double SHORT_MILLIS = 5;
    private static final double LONG_MILLIS = 200;
    private static final double LONG_SHARE = 0.1;
    private static final int CALLS = 1_000;

    private final RunTimes runTimes = RunTimes.empty();

    /** Guards against waits that are taken for short, so that calls are held until they are cut. */
    @Example
    void callsOfUnknownRoutesThatAreCutLengthenExpectedWait() {
        FairQueue<String> queue = queueOfHangingTarget();

        assertThat(queue.expectedWaitsMillis(0).getFirst())
                .isAtLeast((int) (0.9 * DEADLINE_MILLIS));
    }

    /** Guards against calls that wait behind a target that hangs. */
    @Example
    void callsBehindHangingTargetOfUnknownRoutesAreRefused() {
        FairQueue<String> queue = queueOfHangingTarget();
        assertThat(queue.offer("runs", request("unknown", 0), 0))
                .isInstanceOf(AdmissionOutcome.Run.class);

        assertThat(queue.offer("waits", request("unknown", 0), 0))
                .isInstanceOf(AdmissionOutcome.Refused.class);
    }

    /** Guards against waits that depend on how many calls fail within their usual time. */
    @Property(seed = "491", tries = 20)
    void failuresWithinUsualTimeDoNotChangeExpectedWait(
            @ForAll long seed, @ForAll @DoubleRange(min = 0.1, max = 0.9) double failedShare) {
        SplittableRandom random = new SplittableRandom(seed);
        FairQueue<String> sound = FairQueue.ofSlots(1);
        FairQueue<String> failing = FairQueue.ofSlots(1);
        for (int call = 0; call < KNOWN_CALLS; call++) {
            runTimes.record("short", SHORT_MILLIS);
            runTimes.record("long", LONG_MILLIS);
        }

        for (int call = 0; call < CALLS; call++) {
            boolean isLong = random.nextDouble() < LONG_SHARE;
            String route = isLong ? "long" : "short";
            double millis = isLong ? LONG_MILLIS : SHORT_MILLIS;
            if (random.nextDouble() < failedShare) {
                fail(failing, route, random.nextDouble() * millis);
            } else {
                succeed(sound, route, millis);
                succeed(failing, route, millis);
            }
        }

        assertThat(failing.expectedWaitsMillis(0)).isEqualTo(sound.expectedWaitsMillis(0));
    }

    /** Guards against failures of short calls that hide the running time of the others. */
    @Example
    void lateFailuresOfShortCallsDoNotShortenExpectedWait() {
        FairQueue<String> queue = FairQueue.ofSlots(1);
        for (int call = 0; call < KNOWN_CALLS; call++) {
            runTimes.record("short", SHORT_MILLIS);
        }
        for (int call = 0; call < CALLS; call++) {
            succeed(queue, "long", LONG_MILLIS);
        }
        for (int call = 0; call < CALLS; call++) {
            fail(queue, "short", 2 * SHORT_MILLIS);
        }

        assertThat(queue.expectedWaitsMillis(0).getFirst()).isAtLeast((int) (0.9 * LONG_MILLIS));
    }

    /** Each route has had one success less than makes its running time known. */
    private FairQueue<String> queueOfHangingTarget() {
        FairQueue<String> queue = FairQueue.ofSlots(1);
        for (int call = 0; call < KNOWN_CALLS - 1; call++) {
            succeed(queue, "unknown", SHORT_MILLIS);
            runTimes.record("unknown", SHORT_MILLIS);
        }
        for (int call = 0; call < CUT_CALLS; call++) {
            fail(queue, "unknown", DEADLINE_MILLIS);
        }
        return queue;
    }

    private void succeed(FairQueue<String> queue, String route, double millis) {
        AdmissionRequest request = request(route, runTimes.typicalRunMillis(route));
        queue.offer("answered", request, 0);
        queue.release(request, millis, runTimes.slowness(route, millis), 0);
    }

    private void fail(FairQueue<String> queue, String route, double millis) {
        AdmissionRequest request = request(route, runTimes.typicalRunMillis(route));
        queue.offer("failed", request, 0);
        queue.releaseFailed(request, millis, runTimes.slowness(route, millis), 0);
    }

    private static AdmissionRequest request(String route, double typicalRunMillis) {
        return new AdmissionRequest(
                new Caller("10.0.0.1", ""),
                route,
                0,
                0,
                OBJECTIVE_MILLIS,
                DEADLINE_MILLIS,
                typicalRunMillis);
    }
}
