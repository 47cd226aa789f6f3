package org.cuminreach.trial.rollout;

import java.util.List;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.decisions.rollout.Verdict;
import org.cuminreach.document.Rollout;

/** Decides the steps of one rollout from the evidence of its calls. */
interface RolloutPolicy {
    /** Adds evidence of calls to the old and the new version. */
    void add(List<Evidence> evidence, long nowMillis);

    /** Returns the next step of the rollout. */
    Verdict judge(Rollout wanted, RolloutProgress progress, long nowMillis);

    /** Tells whether nodes use a circuit breaker for the new version. */
    boolean usesCircuitBreakers();
}
