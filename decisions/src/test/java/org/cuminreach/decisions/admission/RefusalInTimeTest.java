package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** A call that waits in vain is refused while its caller still waits for an answer. */
class RefusalInTimeTest {
    /** Interval at which expired calls are looked for, in milliseconds. */
    private static final long TIMER_INTERVAL_MILLIS = 50;

    private static final Caller CALLER = new Caller("10.0.0.1", "");

    @Property(seed = "71", tries = 200)
    void waitingCallIsRefusedBeforeItsDeadline(
            @ForAll @IntRange(min = 600, max = 1_100) int deadlineMillis,
            @ForAll @IntRange(min = 0, max = 49) int timerOffset) {
        FairQueue<String> queue = FairQueue.ofSlots(1);
        queue.offer("running", CALLER, 100_000, 0);
        AdmissionOutcome outcome = queue.offer("waiting", CALLER, deadlineMillis, 0);
        assertThat(outcome).isEqualTo(new AdmissionOutcome.Queued());

        long nowMillis = timerOffset;
        while (queue.expire(nowMillis).isEmpty()) {
            nowMillis += TIMER_INTERVAL_MILLIS;
        }

        assertThat(nowMillis).isLessThan(deadlineMillis);
    }

    /** The margin does not keep a call with little time from a slot that is free. */
    @Example
    void callWithLittleTimeStartsAtOnce() {
        FairQueue<String> queue = FairQueue.ofSlots(1);

        assertThat(queue.offer("short", CALLER, 20, 0)).isEqualTo(new AdmissionOutcome.Run());
    }
}
