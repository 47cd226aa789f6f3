package org.cuminreach.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class ConcurrencyLimitTest {
    @Property(seed = "31", tries = 50)
    void targetThatThrashesGetsFewerCallsAndRecovers(
            @ForAll @IntRange(min = 4, max = 40) int slots) {
        ConcurrencyLimit limit = new ConcurrencyLimit(slots);
        long now = run(limit, 0, 1_000, 5, 0);
        assertThat(limit.maxCalls()).isEqualTo(slots);

        int lowest = slots;
        for (int round = 0; round < 40; round++) {
            now = run(limit, now, 50, 5, slots / 2);
            lowest = Math.min(lowest, limit.maxCalls());
        }
        assertThat(lowest).isLessThan(slots);
        assertThat(lowest).isAtLeast(1);

        run(limit, now, 50 * (slots + 2), 5, 0);
        assertThat(limit.maxCalls()).isEqualTo(slots);
    }

    @Property(seed = "32", tries = 50)
    void callsThatAreSlowForOtherReasonsKeepTheirSlots(
            @ForAll @IntRange(min = 1, max = 40) int slots,
            @ForAll @IntRange(min = 2, max = 10) int factor) {
        ConcurrencyLimit limit = new ConcurrencyLimit(slots);
        long now = run(limit, 0, 1_000, 5, 0);
        run(limit, now, 50 * (slots + 6), 5 * factor, 0);

        assertThat(limit.maxCalls()).isEqualTo(slots);
    }

    /**
     * Runs calls. Each concurrent call above a bound adds the basic running time once more; a bound
     * of 0 means none.
     */
    private static long run(
            ConcurrencyLimit limit, long fromMillis, int calls, double millis, int bound) {
        long now = fromMillis;
        for (int call = 0; call < calls; call++) {
            int excess = bound == 0 ? 0 : Math.max(0, limit.maxCalls() - bound);
            limit.recordRunTime(millis * (1 + excess), now);
            now++;
        }
        return now;
    }
}
