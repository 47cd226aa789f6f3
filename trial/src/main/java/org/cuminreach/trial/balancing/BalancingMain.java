package org.cuminreach.trial.balancing;

import java.util.List;

/** Compares ways to choose a target, under load and faults, in a table. */
public final class BalancingMain {
    private static final long SEED = 5;

    private BalancingMain() {}

    /**
     * Runs every scenario with every policy.
     *
     * @param arguments a part of the names of the scenarios to run and a part of the names of the
     *     policies; all when absent
     */
    public static void main(String[] arguments) {
        String wanted = arguments.length == 0 ? "" : arguments[0];
        String wantedPolicy = arguments.length < 2 ? "" : arguments[1];
        System.out.printf(
                "%-28s %-20s %8s %8s %8s %8s %8s%n",
                "scenario", "policy", "p50 ms", "p99 ms", "refus. %", "failed %", "own dc %");
        for (ModelScenario scenario : scenarios()) {
            if (!scenario.name().contains(wanted)) {
                continue;
            }
            for (ChoicePolicy policy : ChoicePolicy.values()) {
                if (!policy.name().contains(wantedPolicy)) {
                    continue;
                }
                ModelStatistics tally = QueueModel.run(scenario, policy, SEED);
                System.out.printf("%-28s %-20s %s%n", scenario.name(), policy, tally.row());
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
