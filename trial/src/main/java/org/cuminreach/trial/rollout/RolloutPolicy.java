package org.cuminreach.trial.rollout;

import java.util.List;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.decisions.rollout.Verdict;
import org.cuminreach.document.Rollout;

/** A policy that judges one rollout. */
interface RolloutPolicy {
    /** Takes evidence. */
    void add(List<Evidence> evidence, long nowMillis);

    /** Judges the rollout. */
    Verdict judge(Rollout wanted, RolloutProgress progress, long nowMillis);

    /** Tells whether nodes guard themselves. */
    boolean usesCircuitBreakers();
}
