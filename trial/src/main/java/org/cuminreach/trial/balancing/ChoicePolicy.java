package org.cuminreach.trial.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cuminreach.decisions.routing.TargetChoice;
import org.cuminreach.decisions.routing.TargetChooser;
import org.cuminreach.decisions.routing.TargetStatus;
import org.cuminreach.decisions.routing.TargetView;

/** Ways to choose a target that are compared. All but the first avoid targets in doubt. */
enum ChoicePolicy {
    /** Any target, whatever was met before. */
    RANDOM_UNFILTERED,
    /** Any target. */
    RANDOM,
    /** Targets in turn. */
    ROUND_ROBIN,
    /** The target with the fewest calls of the chooser. */
    LEAST_OUTSTANDING,
    /** The one of two with fewer calls of the chooser. */
    P2C_OUTSTANDING,
    /** The one of two with the lower product of own latency and calls. */
    P2C_LATENCY,
    /** The one of two with the lower load by own calls and reports. */
    P2C_LOAD,
    /** What nodes do. */
    TARGET_CHOOSER;

    Optional<TargetView> choose(
            ModelNode node, Set<String> tried, long nowMillis, RandomGenerator random) {
        if (this == TARGET_CHOOSER) {
            TargetChoice choice =
                    TargetChooser.choose(
                            node.views(), tried, true, node.dataCentre(), nowMillis, random);
            return switch (choice) {
                case TargetChoice.Chosen chosen -> Optional.of(chosen.target());
                case TargetChoice.NoTarget none -> Optional.empty();
            };
        }
        List<TargetView> open = new ArrayList<>();
        List<TargetView> untried = new ArrayList<>();
        for (TargetView view : node.views()) {
            if (!tried.contains(view.node())) {
                untried.add(view);
                TargetStatus standing = view.statistics().status(nowMillis);
                if (this == RANDOM_UNFILTERED
                        || standing == TargetStatus.USABLE
                        || standing == TargetStatus.DUE_FOR_PROBE) {
                    open.add(view);
                }
            }
        }
        List<TargetView> candidates = open.isEmpty() ? untried : open;
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(pick(node, candidates, nowMillis, random));
    }

    private TargetView pick(
            ModelNode node, List<TargetView> open, long nowMillis, RandomGenerator random) {
        TargetView first = open.get(random.nextInt(open.size()));
        TargetView second = open.get(random.nextInt(open.size()));
        return switch (this) {
            case RANDOM_UNFILTERED, RANDOM -> first;
            case ROUND_ROBIN -> open.get(node.nextRoundRobinIndex() % open.size());
            case LEAST_OUTSTANDING ->
                    open.stream()
                            .min(Comparator.comparingDouble(ChoicePolicy::outstanding))
                            .orElse(first);
            case P2C_OUTSTANDING -> outstanding(first) <= outstanding(second) ? first : second;
            case P2C_LATENCY ->
                    node.latencyMillis(first.node()) * (outstanding(first) + 1)
                                    <= node.latencyMillis(second.node()) * (outstanding(second) + 1)
                            ? first
                            : second;
            case P2C_LOAD, TARGET_CHOOSER ->
                    first.statistics().load(nowMillis) <= second.statistics().load(nowMillis)
                            ? first
                            : second;
        };
    }

    private static double outstanding(TargetView view) {
        return (double) view.statistics().outstanding() / view.slots();
    }
}
