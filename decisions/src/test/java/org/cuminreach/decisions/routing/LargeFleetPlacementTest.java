package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

/** What callers of a large fleet get of its placement; all targets together run 1,346 calls/s. */
class LargeFleetPlacementTest {
    private static final int SEEDS = 8;

    /** The usual load of the largest deployment, two fifths of what its targets can run. */
    private static final double USUAL_LOAD = 530;

    /** Three quarters of what the targets can run. */
    private static final double HEAVY_LOAD = 1_000;

    /** The share of full credit that is aimed at on all days. */
    private static final double AIM = 0.90;

    private static double onTimeShare(double callsPerSecond) {
        double sum = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            sum +=
                    LargeFleetModel.play(Placement.dearCrossing(), callsPerSecond, seed)
                            .onTimeShare();
        }
        return sum / SEEDS;
    }

    @Example
    void nineCallsInTenAreOnTimeUnderUsualAndHeavyLoad() {
        assertThat(onTimeShare(USUAL_LOAD)).isAtLeast(AIM);
        assertThat(onTimeShare(HEAVY_LOAD)).isAtLeast(AIM);
    }

    /** Crossings are paid for by everyone; the usual load needs none. */
    @Example
    void usualLoadStaysInItsDataCentre() {
        for (int seed = 0; seed < SEEDS; seed++) {
            LargeFleetModel.Tally tally =
                    LargeFleetModel.play(Placement.dearCrossing(), USUAL_LOAD, seed);

            assertThat(tally.crossedShare()).isLessThan(0.01);
        }
    }
}
