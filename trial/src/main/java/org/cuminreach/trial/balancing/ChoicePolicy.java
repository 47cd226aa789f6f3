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

/**
 * Load balancing policies to compare. All but the first avoid targets that are unavailable or whose
 * health is in doubt. P2C stands for the power of two choices: two random targets are compared.
 */
enum ChoicePolicy {
    /** A random target, regardless of the results of earlier calls. */
    RANDOM_BLIND,
    /** A random target. */
    RANDOM,
    /** Targets in turn. */
    ROUND_ROBIN,
    /** The target with the fewest outstanding calls of this node per slot. */
    LEAST_OUTSTANDING,
    /** P2C by the number of this node's outstanding calls per slot. */
    TWO_BY_OUTSTANDING,
    /** P2C by the product of the latency and the outstanding calls that this node measured. */
    TWO_BY_LATENCY,
    /** P2C by the load, computed from this node's own calls and the load reports. */
    TWO_BY_LOAD,
    /** The policy of production nodes. */
    CHOOSER;

    Optional<TargetView> choose(
            ModelNode node, Set<String> tried, long nowMillis, RandomGenerator random) {
        if (this == CHOOSER) {
            TargetChoice choice =
                    TargetChooser.choose(
                            node.views(), tried, true, node.dataCentre(), nowMillis, random);
            return switch (choice) {
                case TargetChoice.Chosen chosen -> Optional.of(chosen.target());
                case TargetChoice.NoTarget none -> Optional.empty();
            };
        }
        List<TargetView> healthy = new ArrayList<>();
        List<TargetView> untried = new ArrayList<>();
        for (TargetView view : node.views()) {
            if (!tried.contains(view.node())) {
                untried.add(view);
                TargetStatus status = view.statistics().status(nowMillis);
                if (this == RANDOM_BLIND
                        || status == TargetStatus.USABLE
                        || status == TargetStatus.DUE_FOR_PROBE) {
                    healthy.add(view);
                }
            }
        }
        List<TargetView> candidates = healthy.isEmpty() ? untried : healthy;
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(pick(node, candidates, nowMillis, random));
    }

    private TargetView pick(
            ModelNode node, List<TargetView> healthy, long nowMillis, RandomGenerator random) {
        TargetView first = healthy.get(random.nextInt(healthy.size()));
        TargetView second = healthy.get(random.nextInt(healthy.size()));
        return switch (this) {
            case RANDOM_BLIND, RANDOM -> first;
            case ROUND_ROBIN -> healthy.get(node.nextRoundRobinIndex() % healthy.size());
            case LEAST_OUTSTANDING ->
                    healthy.stream()
                            .min(Comparator.comparingDouble(ChoicePolicy::outstanding))
                            .orElse(first);
            case TWO_BY_OUTSTANDING -> outstanding(first) <= outstanding(second) ? first : second;
            case TWO_BY_LATENCY ->
                    node.latencyMillis(first.node()) * (outstanding(first) + 1)
                                    <= node.latencyMillis(second.node()) * (outstanding(second) + 1)
                            ? first
                            : second;
            case TWO_BY_LOAD, CHOOSER ->
                    first.statistics().load(nowMillis) <= second.statistics().load(nowMillis)
                            ? first
                            : second;
        };
    }

    private static double outstanding(TargetView view) {
        return (double) view.statistics().outstanding() / view.slots();
    }
}
