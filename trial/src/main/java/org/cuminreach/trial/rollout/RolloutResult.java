package org.cuminreach.trial.rollout;

import java.util.OptionalLong;

/**
 * The result of one simulated rollout.
 *
 * @param scenario the scenario that was simulated
 * @param doneInTime whether the rollout was done before its deadline
 * @param rolledBack whether the new version was rolled back
 * @param reportedLate whether the rollout was reported as late
 * @param regressionMillis time from the first to the last call that a regression affected, present
 *     if the version was rolled back after such a call
 * @param calls number of calls
 * @param regressionCalls number of calls that a regression affected
 */
record RolloutResult(
        Scenario scenario,
        boolean doneInTime,
        boolean rolledBack,
        boolean reportedLate,
        OptionalLong regressionMillis,
        long calls,
        long regressionCalls) {
    boolean isCorrect() {
        return scenario.kind().isGood() ? doneInTime && !rolledBack : rolledBack;
    }
}
