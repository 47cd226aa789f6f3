package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

/** What callers of a large fleet get of its placement; all targets together run 1,346 calls/s. */
class LargeFleetLoadBalancingTest {
    private static final int SEEDS = 8;

    /** The usual load of the largest deployment, two fifths of what its targets can run. */
    private static final double TYPICAL_CALLS_PER_SECOND = 530;

    /** Three quarters of what the targets can run. */
    private static final double HEAVY_CALLS_PER_SECOND = 1_000;

    /** The share of full credit that is aimed at on all days. */
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

    /** Crossings are paid for by everyone; the usual load needs none. */
    @Example
    void typicalLoadStaysInLocalDataCentre() {
        for (int seed = 0; seed < SEEDS; seed++) {
            LargeFleetModel.Result tally =
                    LargeFleetModel.run(
                            LoadBalancingPolicy.forCostlyLinks(), TYPICAL_CALLS_PER_SECOND, seed);

            assertThat(tally.remoteShare()).isLessThan(0.01);
        }
    }
}
