package org.cuminreach.control.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminreach.control.replica.ReplicaDriver;
import org.cuminreach.decisions.configuration.MeshCommand;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.rollout.Evidence;
import org.cuminreach.decisions.rollout.EvidenceStore;
import org.cuminreach.decisions.rollout.RolloutJudge;
import org.cuminreach.decisions.rollout.Verdict;
import org.cuminreach.document.Rollout;
import org.cuminreach.runtime.ProcessClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Judges the rollouts on the leader and proposes the verdicts to the replicated log, one at a time
 * for each rollout. Only the leader keeps evidence: a new leader starts without any and judges by
 * what it then collects.
 */
public final class RolloutController {
    private static final Logger LOGGER = LoggerFactory.getLogger(RolloutController.class);

    private final ReplicaDriver replica;
    private final Set<String> pendingProposals = new HashSet<>();
    private Optional<EvidenceStore> collected = Optional.empty();

    private RolloutController(ReplicaDriver replica) {
        this.replica = replica;
    }

    /**
     * Returns a controller.
     *
     * @param replica replica that the verdicts are proposed to
     * @return the controller
     */
    public static RolloutController create(ReplicaDriver replica) {
        return new RolloutController(replica);
    }

    /**
     * Adds evidence. Ignored on a control that is not the leader.
     *
     * @param evidence evidence that nodes reported
     */
    public synchronized void add(List<Evidence> evidence) {
        collected.ifPresent(store -> store.add(evidence, ProcessClock.wallMillis()));
    }

    /**
     * Judges each rollout that is in progress or still watched after it, if this control is the
     * leader.
     *
     * @param nowMillis current time of the monotonic clock
     * @param wallMillis current wall-clock time
     */
    public synchronized void onTimer(long nowMillis, long wallMillis) {
        if (!replica.isLeader()) {
            collected = Optional.empty();
            return;
        }
        if (collected.isEmpty()) {
            collected = Optional.of(EvidenceStore.empty(wallMillis));
        }
        if (!replica.isLeaderWithCurrentState()) {
            return;
        }
        MeshConfiguration configuration = replica.configuration();
        Map<String, Rollout> judged = judgedRollouts(configuration, wallMillis);
        Map<String, String> versions = new HashMap<>();
        judged.forEach((service, rollout) -> versions.put(service, rollout.version()));
        collected.get().setNewVersions(versions);
        if (!replica.hasQuorum(nowMillis)) {
            return;
        }
        judged.keySet().removeIf(pendingProposals::contains);
        judged.forEach(
                (service, rollout) ->
                        judge(
                                rollout,
                                configuration.rollout(service).orElseThrow(),
                                nowMillis,
                                wallMillis));
    }

    private static Map<String, Rollout> judgedRollouts(
            MeshConfiguration configuration, long wallMillis) {
        Map<String, Rollout> judged = new HashMap<>();
        for (RolloutProgress progress : configuration.rollouts()) {
            configuration
                    .document()
                    .service(progress.service())
                    .flatMap(service -> service.rollout())
                    .filter(rollout -> RolloutJudge.isJudged(rollout, progress, wallMillis))
                    .ifPresent(rollout -> judged.put(progress.service(), rollout));
        }
        return judged;
    }

    private void judge(Rollout rollout, RolloutProgress progress, long nowMillis, long wallMillis) {
        int share = progress.sharePerMille();
        switch (RolloutJudge.judge(rollout, progress, collected.orElseThrow(), wallMillis)) {
            case Verdict.Wait wait -> LOGGER.trace("event=rollout_waits {}", progress);
            case Verdict.Advance advance ->
                    propose(
                            progress,
                            progress.phase(),
                            advance.sharePerMille(),
                            advance.reason(),
                            nowMillis,
                            wallMillis);
            case Verdict.Done done ->
                    propose(
                            progress,
                            RolloutPhase.DONE,
                            share,
                            done.reason(),
                            nowMillis,
                            wallMillis);
            case Verdict.RollBack rollBack ->
                    propose(
                            progress,
                            RolloutPhase.TAKEN_BACK,
                            0,
                            rollBack.reason(),
                            nowMillis,
                            wallMillis);
            case Verdict.Late late ->
                    propose(
                            progress,
                            RolloutPhase.LATE,
                            share,
                            late.reason(),
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
        pendingProposals.add(progress.service());
        MeshCommand.StepRollout step =
                new MeshCommand.StepRollout(
                        progress.service(),
                        progress.version(),
                        phase,
                        sharePerMille,
                        reason,
                        wallMillis);
        replica.propose(step, nowMillis)
                .whenComplete((result, failure) -> onProposalCompleted(progress.service()));
    }

    private synchronized void onProposalCompleted(String service) {
        pendingProposals.remove(service);
    }
}
