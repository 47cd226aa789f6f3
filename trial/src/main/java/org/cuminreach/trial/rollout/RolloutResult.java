package org.cuminreach.trial.rollout;

import java.util.OptionalLong;

/** How one rollout went. */
record RolloutResult(
        Scenario scenario,
        boolean doneInTime,
        boolean takenBack,
        boolean reportedLate,
        OptionalLong badMillis,
        long calls,
        long badCalls) {
    boolean isRight() {
        return scenario.kind().isGood() ? doneInTime && !takenBack : takenBack;
    }
}
