package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class FairQueueTest {
    private static final int DISTANT_DEADLINE_MILLIS = 1_000_000;

    private static Caller caller(String source) {
        return new Caller(source, "");
    }

    @Example
    void expiredHeadDoesNotBlockNextCall() {
        FairQueue<String> queue = FairQueue.ofSlots(1);
        queue.offer("running", caller("a"), 1_000, 0);
        queue.offer("late", caller("a"), 20, 0);
        queue.offer("behind", caller("a"), 1_000, 0);

        assertThat(queue.release(caller("a"), 5, 500)).containsExactly("behind");
        assertThat(queue.takeRefused()).hasSize(1);
    }

    @Example
    void burstOfOneCallerLeavesRoomForOthers() {
        FairQueue<String> queue = FairQueue.ofSlots(1);
        for (int call = 0; call < 50; call++) {
            queue.offer("burst-" + call, caller("burst"), DISTANT_DEADLINE_MILLIS, 0);
        }

        assertThat(queue.offer("quiet", caller("quiet"), DISTANT_DEADLINE_MILLIS, 0))
                .isEqualTo(new AdmissionOutcome.Queued());
        assertThat(queue.release(caller("burst"), 5, 5)).containsExactly("quiet");
    }

    @Example
    void manyNamesOfOneSourceCountAsOneSource() {
        FairQueue<String> queue = FairQueue.ofSlots(1);
        for (int call = 0; call < 5_000; call++) {
            queue.offer(
                    "burst-" + call,
                    new Caller("10.0.0.9", "name-" + call),
                    DISTANT_DEADLINE_MILLIS,
                    0);
        }
        queue.offer("quiet", caller("10.0.0.1"), DISTANT_DEADLINE_MILLIS, 0);

        assertThat(queue.sources()).isAtMost(2);
        assertThat(queue.waiting()).isAtMost(8);
        assertThat(queue.release(new Caller("10.0.0.9", "name-0"), 5, 5)).containsExactly("quiet");
    }

    @Property(seed = "21", tries = 300)
    void everyCallEndsOnceAndNoSlotIsLostOrIdle(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 9) int slots) {
        Random random = new Random(seed);
        FairQueue<Integer> queue = FairQueue.ofSlots(slots);
        Map<Integer, Caller> running = new HashMap<>();
        Map<Integer, Caller> callers = new HashMap<>();
        Set<Integer> ended = new HashSet<>();
        long now = 0;
        for (int call = 0; call < 400; call++) {
            now += random.nextInt(4);
            Caller caller = new Caller("s" + random.nextInt(4), "n" + random.nextInt(3));
            callers.put(call, caller);
            switch (queue.offer(call, caller, now + random.nextInt(120), now)) {
                case AdmissionOutcome.Run run -> running.put(call, caller);
                case AdmissionOutcome.Queued queued -> assertThat(running).isNotEmpty();
                case AdmissionOutcome.Refused refused -> {
                    assertThat(refused.retryAfterMillis()).isAtLeast(1);
                    assertThat(ended.add(call)).isTrue();
                }
            }
            endSome(random, queue, running, callers, ended, now);
            queue.takeRefused().forEach(late -> assertThat(ended.add(late.call())).isTrue());
            assertThat(queue.running()).isEqualTo(running.size());
            assertThat(queue.limit()).isAtMost(slots);
            assertThat(running.size()).isAtMost(slots);
            assertThat(queue.waiting() > 0 && running.size() < queue.limit()).isFalse();
        }
        while (!running.isEmpty()) {
            endOne(queue, running, callers, ended, now);
        }
        queue.expire(now + DISTANT_DEADLINE_MILLIS)
                .forEach(late -> assertThat(ended.add(late.call())).isTrue());
        assertThat(ended).hasSize(400);
        assertThat(queue.waiting()).isEqualTo(0);
        assertThat(queue.sources()).isEqualTo(0);
    }

    private static void endSome(
            Random random,
            FairQueue<Integer> queue,
            Map<Integer, Caller> running,
            Map<Integer, Caller> callers,
            Set<Integer> ended,
            long now) {
        if (random.nextInt(3) == 0) {
            queue.expire(now).forEach(late -> assertThat(ended.add(late.call())).isTrue());
        }
        if (!running.isEmpty() && random.nextBoolean()) {
            endOne(queue, running, callers, ended, now);
        }
    }

    private static void endOne(
            FairQueue<Integer> queue,
            Map<Integer, Caller> running,
            Map<Integer, Caller> callers,
            Set<Integer> ended,
            long now) {
        int call = running.keySet().iterator().next();
        List<Integer> next = queue.release(running.remove(call), 1 + call % 20, now);
        assertThat(ended.add(call)).isTrue();
        next.forEach(started -> running.put(started, callers.get(started)));
    }

    @Property(seed = "22", tries = 100)
    void sourcesGetEqualRunningTimeForUnequalCalls(
            @ForAll @IntRange(min = 1, max = 20) int firstMillis,
            @ForAll @IntRange(min = 1, max = 20) int secondMillis) {
        FairQueue<String> queue = FairQueue.ofSlots(1);
        Map<String, Integer> millis = Map.of("first", firstMillis, "second", secondMillis);
        Map<String, Integer> ran = new HashMap<>();
        String running = "first";
        queue.offer(running, caller(running), DISTANT_DEADLINE_MILLIS, 0);
        for (int turn = 0; turn < 2_000; turn++) {
            for (String source : millis.keySet()) {
                queue.offer(source, caller(source), DISTANT_DEADLINE_MILLIS, 0);
            }
            ran.merge(running, millis.get(running), Integer::sum);
            running = queue.release(caller(running), millis.get(running), 0).get(0);
        }

        double share = (double) ran.get("first") / (ran.get("first") + ran.get("second"));
        assertThat(share).isWithin(0.05).of(0.5);
    }

    @Property(seed = "23", tries = 100)
    void namesAndOrderOfCallersMakeNoDifference(@ForAll @IntRange(min = 2, max = 8) int sources) {
        FairQueue<String> queue = FairQueue.ofSlots(1);
        queue.offer("busy", caller("busy"), DISTANT_DEADLINE_MILLIS, 0);
        for (int call = 0; call < 3; call++) {
            for (int source = 0; source < sources; source++) {
                queue.offer("s" + source, caller("s" + source), DISTANT_DEADLINE_MILLIS, 0);
            }
        }
        List<String> order = new ArrayList<>();
        String running = "busy";
        while (queue.waiting() > 0) {
            running = queue.release(caller(running), 5, 0).get(0);
            order.add(running);
        }

        for (int start = 0; start + sources <= order.size(); start += sources) {
            Set<String> round = new HashSet<>(order.subList(start, start + sources));
            assertThat(round).hasSize(Math.min(sources, order.size() - start));
        }
    }

    @Example
    void callWhoseDeadlineCannotBeMetIsRefusedAtOnce() {
        FairQueue<String> queue = FairQueue.ofSlots(1);
        queue.offer("running", caller("a"), DISTANT_DEADLINE_MILLIS, 0);
        queue.release(caller("a"), 100, 100);
        queue.offer("running", caller("a"), DISTANT_DEADLINE_MILLIS, 100);

        AdmissionOutcome outcome = queue.offer("tight", caller("b"), 110, 100);

        assertThat(outcome).isInstanceOf(AdmissionOutcome.Refused.class);
        assertThat(queue.offer("past", caller("b"), 99, 100))
                .isInstanceOf(AdmissionOutcome.Refused.class);
    }

    @Example
    void waitIsBoundedForDistantDeadline() {
        FairQueue<String> queue = FairQueue.ofSlots(1);
        queue.offer("running", caller("a"), DISTANT_DEADLINE_MILLIS, 0);
        queue.offer("waiting", caller("b"), DISTANT_DEADLINE_MILLIS, 0);

        assertThat(queue.expire(999)).isEmpty();
        assertThat(queue.expire(1_001)).hasSize(1);
    }
}
