package org.cuminreach.trial.rollout;

import java.util.List;
import java.util.Map;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.decisions.rollout.EvidenceStore;
import org.cuminreach.decisions.rollout.RolloutJudge;
import org.cuminreach.decisions.rollout.Verdict;
import org.cuminreach.document.Rollout;

/** The product's judge, with or without the nodes' guards. */
final class SequentialPolicy implements RolloutPolicy {
    private final EvidenceStore ledger = EvidenceStore.empty(0);
    private final boolean guarded;

    SequentialPolicy(boolean guarded) {
        this.guarded = guarded;
        ledger.setNewVersions(Map.of(RolloutRun.SERVICE, RolloutRun.NEW));
    }

    @Override
    public void add(List<Evidence> evidence, long nowMillis) {
        ledger.add(evidence, nowMillis);
    }

    @Override
    public Verdict judge(Rollout wanted, RolloutProgress progress, long nowMillis) {
        return RolloutJudge.isJudged(wanted, progress, nowMillis)
                ? RolloutJudge.judge(wanted, progress, ledger, nowMillis)
                : new Verdict.Wait();
    }

    @Override
    public boolean guarded() {
        return guarded;
    }
}
