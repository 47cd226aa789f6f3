package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

/** Load balancing in a large fleet; all its targets together can run 1,346 calls/s. */
class LargeFleetLoadBalancingTest {
    private static final int SEEDS = 8;

    /** Typical load of the largest deployment, two fifths of the capacity of its targets. */
    private static final double TYPICAL_CALLS_PER_SECOND = 530;

    /** Three quarters of the capacity of the targets. */
    private static final double HEAVY_CALLS_PER_SECOND = 1_000;

    /** Required share of calls that are answered within the objective, on every day. */
    private static final double MIN_ON_TIME_SHARE = 0.90;

    private static double onTimeShare(double callsPerSecond) {
        double sum = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            sum +=
                    LargeFleetModel.run(LoadBalancingPolicy.forCostlyLinks(), callsPerSecond, seed)
                            .onTimeShare();
        }
        return sum / SEEDS;
    }

    @Example
    void nineCallsInTenAreOnTimeUnderTypicalAndHeavyLoad() {
        assertThat(onTimeShare(TYPICAL_CALLS_PER_SECOND)).isAtLeast(MIN_ON_TIME_SHARE);
        assertThat(onTimeShare(HEAVY_CALLS_PER_SECOND)).isAtLeast(MIN_ON_TIME_SHARE);
    }

    /** Traffic between data centres is costly; the typical load needs none. */
    @Example
    void typicalLoadStaysInLocalDataCentre() {
        for (int seed = 0; seed < SEEDS; seed++) {
            LargeFleetModel.Result result =
                    LargeFleetModel.run(
                            LoadBalancingPolicy.forCostlyLinks(), TYPICAL_CALLS_PER_SECOND, seed);

            assertThat(result.remoteShare()).isLessThan(0.01);
        }
    }
}
