package org.cuminreach.decisions.routing;

import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses a target by two random choices, the less loaded of which wins. Targets of the chooser's
 * own data centre are preferred until they are busier than those elsewhere.
 */
public final class TargetChooser {
    private static final double OTHER_DATA_CENTRE_LOAD = 0.25;

    private TargetChooser() {}

    /**
     * Chooses a target.
     *
     * @param targets the ready targets of the version
     * @param tried nodes that this call was sent to already
     * @param dataCentre data centre of the chooser
     * @param nowMillis present time
     * @param random source of the draws
     * @return the target and the reason
     */
    public static TargetChoice choose(
            List<TargetView> targets,
            Set<String> tried,
            String dataCentre,
            long nowMillis,
            RandomGenerator random) {
        if (targets.isEmpty()) {
            return new TargetChoice.NoTarget("no_ready_target");
        }
        List<TargetView> untried =
                targets.stream().filter(target -> !tried.contains(target.node())).toList();
        if (untried.isEmpty()) {
            return new TargetChoice.NoTarget("all_targets_tried");
        }
        List<TargetView> trusted =
                untried.stream()
                        .filter(target -> target.distrustedUntilMillis() <= nowMillis)
                        .toList();
        if (trusted.isEmpty()) {
            return new TargetChoice.Chosen(pick(untried, dataCentre, random), "all_distrusted");
        }
        return new TargetChoice.Chosen(pick(trusted, dataCentre, random), "less_loaded_of_two");
    }

    private static TargetView pick(
            List<TargetView> targets, String dataCentre, RandomGenerator random) {
        TargetView first = targets.get(random.nextInt(targets.size()));
        TargetView second = targets.get(random.nextInt(targets.size()));
        return cost(first, dataCentre) <= cost(second, dataCentre) ? first : second;
    }

    private static double cost(TargetView target, String dataCentre) {
        double load = (double) target.outstanding() / target.slots();
        return target.dataCentre().equals(dataCentre) ? load : load + OTHER_DATA_CENTRE_LOAD;
    }
}
