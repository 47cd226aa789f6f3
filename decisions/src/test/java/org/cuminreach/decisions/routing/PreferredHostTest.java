package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import org.cuminreach.settings.Address;

/** Choice of the target of a call whose body should not cross a link. */
class PreferredHostTest {
    private static final int SLOTS = 4;
    private static final double RUN_MILLIS = 210;
    private static final double SLACK_MILLIS = 1_000;
    private static final String OWN_HOST = "10.0.0.3";
    private static final CallRequirements REQUIREMENTS =
            new CallRequirements(false, 1, RUN_MILLIS, SLACK_MILLIS, 10).preferringHost(OWN_HOST);

    private final List<TargetView> targets = new ArrayList<>();

    PreferredHostTest() {
        for (int target = 0; target < 6; target++) {
            targets.add(
                    new TargetView(
                            "n" + target,
                            "i" + target,
                            target % 2 == 0 ? "local" : "remote",
                            new Address("10.0.0." + target, 80),
                            SLOTS,
                            TargetStatistics.warm(SLOTS)));
        }
    }

    private TargetChoice.Chosen choose(long seed) {
        return (TargetChoice.Chosen)
                TargetChooser.choose(
                        targets,
                        Set.of(),
                        REQUIREMENTS,
                        "local",
                        LoadBalancingPolicy.forCostlyLinks(),
                        0,
                        new Random(seed));
    }

    /** Guards against long bodies that cross two links to a target that is no better. */
    @Example
    void longBodyStaysOnOwnVmWhileItIsOnTimeThere() {
        for (int call = 0; call < SLOTS; call++) {
            targets.get(3).statistics().recordSent(0);
        }
        for (int seed = 0; seed < 20; seed++) {
            assertThat(choose(seed).target().node()).isEqualTo("n3");
            assertThat(choose(seed).reason()).isEqualTo("own_vm");
        }
    }

    @Example
    void longBodyLeavesOwnVmWhereItWouldBeLate() {
        for (int call = 0; call < 8 * SLOTS; call++) {
            targets.get(3).statistics().recordSent(0);
        }
        for (int seed = 0; seed < 20; seed++) {
            assertThat(choose(seed).target().node()).isNotEqualTo("n3");
        }
    }

    @Example
    void longBodyLeavesOwnVmWhoseTargetIsAboutToStop() {
        targets.get(3).statistics().recordLeaving(1_000);
        for (int seed = 0; seed < 20; seed++) {
            assertThat(choose(seed).target().node()).isNotEqualTo("n3");
        }
    }
}
