package org.cuminreach.trial.rollout;

import java.util.List;
import java.util.Map;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.decisions.rollout.EvidenceStore;
import org.cuminreach.decisions.rollout.RolloutJudge;
import org.cuminreach.decisions.rollout.Verdict;
import org.cuminreach.document.Rollout;

/** The rollout judge of the control, with or without the circuit breakers of the nodes. */
final class SequentialPolicy implements RolloutPolicy {
    private final EvidenceStore evidenceStore = EvidenceStore.empty(0);
    private final boolean usesCircuitBreakers;

    SequentialPolicy(boolean usesCircuitBreakers) {
        this.usesCircuitBreakers = usesCircuitBreakers;
        evidenceStore.setNewVersions(Map.of(RolloutRun.SERVICE, RolloutRun.NEW_VERSION));
    }

    @Override
    public void add(List<Evidence> evidence, long nowMillis) {
        evidenceStore.add(evidence, nowMillis);
    }

    @Override
    public Verdict judge(Rollout wanted, RolloutProgress progress, long nowMillis) {
        return RolloutJudge.isJudged(wanted, progress, nowMillis)
                ? RolloutJudge.judge(wanted, progress, evidenceStore, nowMillis)
                : new Verdict.Wait();
    }

    @Override
    public boolean usesCircuitBreakers() {
        return usesCircuitBreakers;
    }
}
