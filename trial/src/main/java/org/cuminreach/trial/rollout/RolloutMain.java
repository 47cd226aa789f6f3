package org.cuminreach.trial.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Simulates several hundred seeded rollouts with each policy and prints a table of results. */
public final class RolloutMain {
    private static final int DEFAULT_SEEDS = 6;

    private RolloutMain() {}

    /**
     * Runs the rollouts.
     *
     * @param arguments first seed and number of seeds for each combination; 0 and 6 if absent
     */
    public static void main(String[] arguments) {
        int first = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 0;
        int seeds = arguments.length > 1 ? Integer.parseInt(arguments[1]) : DEFAULT_SEEDS;
        List<Scenario> scenarios = Scenario.all(first, seeds);
        System.out.printf("%d rollouts, seeds %d to %d%n", scenarios.size(), first, first + seeds);
        RolloutTable.printHeading();
        List<RolloutTable> tables = new ArrayList<>();
        tables.add(print("fixed steps", scenarios, FixedStepsPolicy::new));
        tables.add(print("sequential", scenarios, () -> new SequentialPolicy(false)));
        tables.add(
                print("sequential, circuit breakers", scenarios, () -> new SequentialPolicy(true)));
        System.out.println("fixed steps, by kind and traffic");
        tables.getFirst().printKinds();
        System.out.println("sequential, circuit breakers, by kind and traffic");
        tables.getLast().printKinds();
    }

    private static RolloutTable print(
            String name, List<Scenario> scenarios, Supplier<RolloutPolicy> policy) {
        List<RolloutResult> results =
                scenarios.parallelStream()
                        .map(scenario -> new RolloutRun(scenario, policy.get()).run())
                        .toList();
        RolloutTable table = new RolloutTable(results);
        table.printTotals(name);
        return table;
    }
}
