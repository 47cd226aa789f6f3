package org.cuminreach.control.rollout;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.decisions.rollout.EvidenceLedger;
import org.cuminreach.decisions.rollout.RolloutJudge;
import org.cuminreach.decisions.rollout.Verdict;
import org.cuminreach.document.Rollout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the judge on the leader and proposes its verdicts, one at a time for each rollout. */
public final class RolloutConductor {
    private static final Logger LOGGER = LoggerFactory.getLogger(RolloutConductor.class);

    private final ReplicaDriver replica;
    private final EvidenceLedger ledger = EvidenceLedger.empty();
    private final Set<String> proposing = new HashSet<>();

    private RolloutConductor(ReplicaDriver replica) {
        this.replica = replica;
    }

    /**
     * Returns a conductor.
     *
     * @param replica the replicated log
     * @return the conductor
     */
    public static RolloutConductor create(ReplicaDriver replica) {
        return new RolloutConductor(replica);
    }

    /**
     * Adds evidence.
     *
     * @param evidence what nodes saw
     */
    public synchronized void add(List<Evidence> evidence) {
        ledger.add(evidence);
    }

    /**
     * Judges every rollout that is moving, if this control leads.
     *
     * @param nowMillis present time of the clock that never goes back
     * @param wallMillis present wall-clock time
     */
    public synchronized void tick(long nowMillis, long wallMillis) {
        if (!replica.isLeader() || !replica.hasQuorum(nowMillis)) {
            return;
        }
        MeshConfiguration configuration = replica.configuration();
        for (RolloutProgress progress : configuration.rollouts()) {
            boolean moving = progress.phase() == RolloutPhase.MOVING;
            if (moving && !proposing.contains(progress.service())) {
                judge(configuration, progress, nowMillis, wallMillis);
            }
        }
    }

    private void judge(
            MeshConfiguration configuration,
            RolloutProgress progress,
            long nowMillis,
            long wallMillis) {
        Optional<Rollout> wanted =
                configuration.document().service(progress.service()).flatMap(s -> s.rollout());
        if (wanted.isEmpty()) {
            return;
        }
        Verdict verdict =
                RolloutJudge.judge(
                        wanted.get(), progress, ledger.of(progress.service()), wallMillis);
        switch (verdict) {
            case Verdict.Wait wait -> LOGGER.trace("event=rollout_waits {}", progress);
            case Verdict.Advance advance ->
                    propose(
                            progress,
                            RolloutPhase.MOVING,
                            advance.sharePerMille(),
                            advance.reason(),
                            nowMillis,
                            wallMillis);
            case Verdict.Done done ->
                    propose(
                            progress,
                            RolloutPhase.DONE,
                            progress.sharePerMille(),
                            done.reason(),
                            nowMillis,
                            wallMillis);
            case Verdict.TakeBack takeBack ->
                    propose(
                            progress,
                            RolloutPhase.TAKEN_BACK,
                            0,
                            takeBack.reason(),
                            nowMillis,
                            wallMillis);
        }
    }

    private void propose(
            RolloutProgress progress,
            RolloutPhase phase,
            int sharePerMille,
            String reason,
            long nowMillis,
            long wallMillis) {
        LOGGER.info(
                "event=rollout_step service={} version={} phase={} share_per_mille={}"
                        + " reason=\"{}\"",
                progress.service(),
                progress.version(),
                phase,
                sharePerMille,
                reason);
        proposing.add(progress.service());
        ledger.forget(progress.service());
        MeshCommand.StepRollout step =
                new MeshCommand.StepRollout(
                        progress.service(),
                        progress.version(),
                        phase,
                        sharePerMille,
                        reason,
                        wallMillis);
        replica.propose(step, nowMillis)
                .whenComplete((result, failure) -> proposed(progress.service()));
    }

    private synchronized void proposed(String service) {
        proposing.remove(service);
    }
}
