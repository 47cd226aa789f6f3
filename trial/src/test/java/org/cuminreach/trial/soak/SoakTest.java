package org.cuminreach.trial.soak;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

class SoakTest {
    private static final long DURATION_MILLIS = 25_000;
    private static final int NODES = 4;
    private static final int CALLERS_PER_NODE = 4;

    @Example
    void disruptedNodesKeepLimitsAndLeaveLeavingTargets() throws Exception {
        for (long seed = 1; seed <= 2; seed++) {
            SoakResult result =
                    SoakRun.run(new SoakPlan(seed, DURATION_MILLIS, NODES, CALLERS_PER_NODE));

            System.out.println("soak seed " + seed + " " + result);
            assertThat(result.violations()).isEmpty();
            assertThat(result.answered()).isGreaterThan(NODES * CALLERS_PER_NODE);
            assertThat(result.disruptions()).isGreaterThan(0);
        }
    }
}
