package org.cuminreach.trial.rollout;

import java.util.ArrayList;
import java.util.List;
import org.cuminreach.document.RolloutPriority;

/** The conditions of one simulated rollout. */
record Scenario(
        VersionKind kind,
        Traffic traffic,
        boolean shortDeadline,
        RolloutPriority priority,
        int seed) {
    private static final long SHORT_DEADLINE_MILLIS = 90_000;
    private static final long LONG_DEADLINE_MILLIS = 600_000;
    private static final long OBSERVATION_MILLIS = 180_000;

    static List<Scenario> all(int firstSeed, int seeds) {
        List<Scenario> scenarios = new ArrayList<>();
        for (VersionKind kind : VersionKind.values()) {
            for (Traffic traffic : Traffic.values()) {
                if (kind == VersionKind.FAILS_UNDER_LOAD && traffic == Traffic.LOW) {
                    continue;
                }
                for (RolloutPriority priority : RolloutPriority.values()) {
                    for (boolean tight : List.of(true, false)) {
                        for (int seed = firstSeed; seed < firstSeed + seeds; seed++) {
                            scenarios.add(new Scenario(kind, traffic, tight, priority, seed));
                        }
                    }
                }
            }
        }
        return scenarios;
    }

    long deadlineMillis() {
        return shortDeadline ? SHORT_DEADLINE_MILLIS : LONG_DEADLINE_MILLIS;
    }

    long endMillis() {
        return deadlineMillis() + OBSERVATION_MILLIS;
    }

    long randomSeed() {
        return ((seed * 31L + kind.ordinal()) * 31 + traffic.ordinal()) * 31
                + (shortDeadline ? 1 : 0);
    }
}
