package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cuminreach.decisions.routing.CallRateLimit;

/** Simulates the node beside one target that is cold at times, with more calls than it bears. */
class ColdTargetTest {
    private static final int SLOTS = 13;
    private static final double WORK_MILLIS = 270;
    private static final long SECOND_MILLIS = 1_000;
    private static final double RATE = 9.1;
    private static final ColdLimit LIMIT = ColdLimit.of(RATE, 1.5, 8);
    private static final int BOUND = 21;
    private static final double USUAL_CALLS_PER_SECOND = 40;
    private static final Caller CALLER = new Caller("10.0.0.1", "shop");

    private FairQueue<AdmissionRequest> queue = FairQueue.ofSlots(SLOTS);
    private final PriorityQueue<Long> ends = new PriorityQueue<>();
    private final List<Long> starts = new ArrayList<>();

    @BeforeTry
    void forgetEarlierTry() {
        queue = FairQueue.ofSlots(SLOTS);
        ends.clear();
        starts.clear();
    }

    private void run(double callsPerSecond, long from, long to, SplittableRandom random) {
        for (long now = from; now < to; now++) {
            while (!ends.isEmpty() && ends.peek() <= now) {
                ends.poll();
                AdmissionRequest ended = AdmissionRequest.withDeadline(CALLER, now, 0, now);
                start(queue.release(ended, WORK_MILLIS, 1, now).size(), now);
            }
            queue.expire(now);
            start(queue.startWaiting(now).size(), now);
            if (random.nextDouble() < callsPerSecond / SECOND_MILLIS) {
                AdmissionRequest request =
                        new AdmissionRequest(
                                CALLER, "route", 0, now, now + 800, now + 2_000, WORK_MILLIS);
                if (queue.offer(request, request, now) instanceof AdmissionOutcome.Run) {
                    start(1, now);
                }
            }
        }
    }

    private void start(int calls, long now) {
        for (int call = 0; call < calls; call++) {
            starts.add(now);
            ends.add(now + Math.round(WORK_MILLIS));
        }
    }

    /** Returns the most starts of any second that lies in a stretch of time at least in part. */
    private int mostStartsInSecond(long from, long to) {
        int most = 0;
        for (int first = 0; first < starts.size(); first++) {
            long begin = starts.get(first);
            int end = first;
            while (end < starts.size() && starts.get(end) < begin + SECOND_MILLIS) {
                end++;
            }
            if (begin + SECOND_MILLIS > from && begin < to) {
                most = Math.max(most, end - first);
            }
        }
        return most;
    }

    @Property(seed = "28", tries = 20)
    void noSecondExceedsBoundFromStartOfTarget(@ForAll long seed) {
        queue.setColdLimit(Optional.of(LIMIT), 0);
        run(USUAL_CALLS_PER_SECOND, 0, 20_000, new SplittableRandom(seed));

        assertThat(mostStartsInSecond(0, 20_000)).isAtMost(BOUND);
        assertThat(starts.size()).isAtLeast((int) (0.9 * RATE * 20));
        assertThat(starts.size()).isAtMost((int) Math.ceil(RATE * 20) + 3);
    }

    /** What a target that becomes cold under full load gets from the moment the node knows. */
    @Property(seed = "29", tries = 20)
    void startsBeforeColdPhaseCountTowardsItsFirstSecond(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        run(USUAL_CALLS_PER_SECOND, 0, 10_000, random);
        int before = mostStartsInSecond(9_000, 9_999);
        int known = starts.size();
        queue.setColdLimit(Optional.of(LIMIT), 10_000);
        run(USUAL_CALLS_PER_SECOND, 10_000, 15_000, random);

        assertThat(before).isGreaterThan(BOUND);
        for (int call = known; call < starts.size(); call++) {
            long now = starts.get(call);
            long inSecond =
                    starts.subList(0, call + 1).stream()
                            .filter(start -> start > now - SECOND_MILLIS)
                            .count();
            assertThat(inSecond).isAtMost(BOUND);
        }
    }

    /** The node beside the target restarts again and again and forgets what it has sent. */
    @Property(seed = "30", tries = 20)
    void restartsOfNodeDoNotAddUp(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (long from = 0; from < 20_000; from += 700) {
            queue = FairQueue.ofSlots(SLOTS);
            ends.clear();
            queue.setColdLimit(Optional.of(LIMIT), from);
            run(USUAL_CALLS_PER_SECOND, from, from + 700, random);
        }

        assertThat(mostStartsInSecond(0, 20_000)).isAtMost(BOUND);
    }

    @Property(seed = "31", tries = 50)
    void boundHoldsForAnyRateOverageAndSlack(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 1, max = 60) double rate,
            @ForAll @DoubleRange(min = 1, max = 2) double overage,
            @ForAll @DoubleRange(min = 0, max = 10) double slack) {
        queue.setColdLimit(Optional.of(ColdLimit.of(rate, overage, slack)), 0);
        run(4 * rate, 0, 10_000, new SplittableRandom(seed));

        assertThat(mostStartsInSecond(0, 10_000))
                .isAtMost((int) Math.floor(rate * overage + slack));
    }

    @Example
    void flappingColdTimeDoesNotAddTokens() {
        SplittableRandom random = new SplittableRandom(32);
        for (long from = 0; from < 20_000; from += 200) {
            boolean cold = from % 400 == 0;
            queue.setColdLimit(cold ? Optional.of(LIMIT) : Optional.empty(), from);
            queue.setColdLimit(Optional.of(LIMIT), from);
            run(USUAL_CALLS_PER_SECOND, from, from + 200, random);
        }

        assertThat(mostStartsInSecond(0, 20_000)).isAtMost(BOUND);
    }

    @Example
    void lowerOfStatedAndColdRateHolds() {
        queue.setRateLimit(new CallRateLimit.PerSecond(4), 0);
        queue.setColdLimit(Optional.of(LIMIT), 0);
        run(USUAL_CALLS_PER_SECOND, 0, 10_000, new SplittableRandom(33));
        assertThat(starts.size()).isAtMost(41);

        starts.clear();
        queue.setRateLimit(CallRateLimit.unlimited(), 10_000);
        run(USUAL_CALLS_PER_SECOND, 10_000, 20_000, new SplittableRandom(34));
        assertThat(starts.size()).isAtLeast(80);
        assertThat(starts.size()).isAtMost(94);
    }

    /** A call that was not sent returns its token, but never more than a pause saves up. */
    @Example
    void callsThatWereNotSentDoNotAddUp() {
        queue.setColdLimit(Optional.of(LIMIT), 0);
        run(USUAL_CALLS_PER_SECOND, 0, 3_000, new SplittableRandom(35));
        for (int call = 0; call < 12; call++) {
            queue.cancelStart();
        }
        run(USUAL_CALLS_PER_SECOND, 3_000, 6_000, new SplittableRandom(36));

        assertThat(mostStartsInSecond(0, 6_000)).isAtMost(BOUND);
    }
}
