package org.cuminreach.trial.balancing;

import java.util.List;

/** Compares load balancing policies under load and faults, and prints a table. */
public final class BalancingMain {
    private static final long SEED = 5;

    private BalancingMain() {}

    /**
     * Runs every scenario with every policy.
     *
     * @param arguments a substring of the names of the scenarios to run, and a substring of the
     *     names of the policies; all when absent
     */
    public static void main(String[] arguments) {
        String scenarioFilter = arguments.length == 0 ? "" : arguments[0];
        String policyFilter = arguments.length < 2 ? "" : arguments[1];
        System.out.printf(
                "%-28s %-20s %8s %8s %8s %8s %8s%n",
                "scenario", "policy", "p50 ms", "p99 ms", "refus. %", "failed %", "local %");
        for (ModelScenario scenario : scenarios()) {
            if (!scenario.name().contains(scenarioFilter)) {
                continue;
            }
            for (ChoicePolicy policy : ChoicePolicy.values()) {
                if (!policy.name().contains(policyFilter)) {
                    continue;
                }
                ModelStatistics statistics = QueueModel.run(scenario, policy, SEED);
                System.out.printf("%-28s %-20s %s%n", scenario.name(), policy, statistics.row());
            }
        }
    }

    private static List<ModelScenario> scenarios() {
        return List.of(
                ModelScenario.fjordhest("low", 0.3, TargetFault.NONE),
                ModelScenario.fjordhest("normal", 0.6, TargetFault.NONE),
                ModelScenario.fjordhest("near full", 0.92, TargetFault.NONE),
                ModelScenario.fjordhest("overload", 1.3, TargetFault.NONE),
                ModelScenario.himal("himal normal", 0.6, TargetFault.NONE),
                ModelScenario.himal("himal near full", 0.92, TargetFault.NONE),
                ModelScenario.fjordhest("skewed callers", 0.6, TargetFault.NONE).withSkew(0.5),
                ModelScenario.fjordhest("slow target", 0.6, TargetFault.SLOW),
                ModelScenario.fjordhest("dead target", 0.6, TargetFault.DEAD),
                ModelScenario.fjordhest("silent target", 0.6, TargetFault.UNRESPONSIVE),
                ModelScenario.fjordhest("cold target", 0.8, TargetFault.COLD),
                ModelScenario.fjordhest("failing fast target", 0.6, TargetFault.FAILING_FAST),
                ModelScenario.fjordhest("lost data centre", 0.6, TargetFault.DEAD)
                        .withScope(ModelScenario.FaultScope.LAST_DATA_CENTRE),
                ModelScenario.fjordhest("lagging reports", 0.92, TargetFault.STALE_REPORTS)
                        .withScope(ModelScenario.FaultScope.ALL),
                ModelScenario.fjordhest("misleading report", 0.92, TargetFault.MISLEADING_REPORTS),
                ModelScenario.fjordhest("thrashing targets", 0.6, TargetFault.THRASHING)
                        .withScope(ModelScenario.FaultScope.ALL));
    }
}
