package org.cuminreach.decisions.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The latest outcomes of submissions by idempotency key, so that a resend gets the first outcome.
 * Not thread-safe.
 */
final class RetainedOutcomes {
    private static final int MAX_OUTCOMES = 10_000;
    private static final int MAX_FAULTS = 100_000;

    private final Map<String, SubmissionOutcome> outcomes = new LinkedHashMap<>();
    private int faults;

    Optional<SubmissionOutcome> find(String key) {
        return Optional.ofNullable(outcomes.get(key));
    }

    /** Retains an outcome and evicts the oldest beyond the limits on outcomes and their faults. */
    void retain(String key, SubmissionOutcome outcome) {
        outcomes.put(key, outcome);
        faults += countFaults(outcome);
        while (outcomes.size() > MAX_OUTCOMES || faults > MAX_FAULTS && outcomes.size() > 1) {
            String oldest = outcomes.keySet().iterator().next();
            faults -= countFaults(outcomes.remove(oldest));
        }
    }

    /** Returns all retained outcomes, oldest first. */
    List<MeshStateImage.RetainedOutcome> all() {
        List<MeshStateImage.RetainedOutcome> all = new ArrayList<>();
        outcomes.forEach(
                (key, outcome) -> all.add(new MeshStateImage.RetainedOutcome(key, outcome)));
        return all;
    }

    private static int countFaults(SubmissionOutcome outcome) {
        return outcome instanceof SubmissionOutcome.RefusedAsFaulty faulty
                ? faulty.faults().size()
                : 0;
    }
}
