package org.cuminreach.trial.rollout;

import java.util.OptionalLong;

/** How one rollout went. */
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
