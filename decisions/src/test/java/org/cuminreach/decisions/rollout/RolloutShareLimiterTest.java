package org.cuminreach.decisions.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Simulates a service whose old version refuses two of three calls under overload. */
class RolloutShareLimiterTest {
    private static final int SHARE_PER_MILLE = 70;
    private static final int CALLS = 3_000;
    private static final int NODES = 22;

    @Property(seed = "71", tries = 20)
    void newVersionGetsItsShareOfRunCallsUnderOverload(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int oldRan = 0;
        int newRan = 0;
        for (int node = 0; node < NODES; node++) {
            RolloutShareLimiter limiter = RolloutShareLimiter.create();
            for (int call = 0; call < CALLS / NODES; call++) {
                if (random.nextInt(1_000) < SHARE_PER_MILLE && !limiter.isExhausted()) {
                    newRan++;
                    limiter.recordCall(true, SHARE_PER_MILLE);
                } else if (random.nextInt(3) == 0) {
                    oldRan++;
                    limiter.recordCall(false, SHARE_PER_MILLE);
                }
            }
        }

        assertThat(newRan).isLessThan(SHARE_PER_MILLE * (oldRan + newRan) / 1_000 + 2 * NODES);
        assertThat(newRan).isAtLeast(NODES);
    }

    @Example
    void unusedShareDoesNotAccumulateWithoutBound() {
        RolloutShareLimiter limiter = RolloutShareLimiter.create();
        for (int call = 0; call < CALLS; call++) {
            limiter.recordCall(false, SHARE_PER_MILLE);
        }
        int consecutiveCalls = 0;
        while (!limiter.isExhausted()) {
            limiter.recordCall(true, SHARE_PER_MILLE);
            consecutiveCalls++;
        }

        assertThat(consecutiveCalls).isAtMost(4);
    }
}
