package org.cuminreach.node.caller;

import java.util.Optional;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.retry.AttemptOutcome;
import org.cuminreach.decisions.rollout.CallResult;
import org.cuminreach.decisions.rollout.EvidenceKey;
import org.cuminreach.decisions.rollout.RolloutJudge;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.decisions.routing.VersionAvailability;
import org.cuminreach.document.Service;
import org.cuminreach.node.http.CallAnswers;
import org.cuminreach.node.peer.MeshView;
import org.cuminreach.runtime.ProcessClock;

/** Records call results as evidence while a rollout of their service is being judged. */
final class RolloutObserver {
    private static final String TIMEOUT = "timeout";

    private RolloutObserver() {}

    static VersionAvailability availability(
            String service,
            CallAttempts attempts,
            PermittedTargets targets,
            EvidenceRecorder evidence) {
        return new VersionAvailability() {
            @Override
            public boolean isReady(String version) {
                return targets.targets(service, version).stream()
                        .anyMatch(target -> !attempts.triedNodes().contains(target.node()));
            }

            @Override
            public boolean isCircuitOpen(String version) {
                return evidence.isCircuitOpen(service, version, ProcessClock.wallMillis());
            }

            @Override
            public boolean isShareExhausted(String version) {
                return evidence.isShareExhausted(service, version);
            }

            @Override
            public String establishedVersion(Optional<String> rolledOut) {
                return targets.establishedVersion(service, rolledOut);
            }
        };
    }

    static void record(
            CallAttempts attempts,
            MeshConfiguration configuration,
            String version,
            TargetView target,
            AttemptOutcome outcome,
            long micros,
            MeshView view,
            EvidenceRecorder evidence) {
        String service = attempts.service();
        long wallMillis = ProcessClock.wallMillis();
        Optional<RolloutProgress> judged = judgedRollout(configuration, service, wallMillis);
        boolean failedElsewhere =
                attempts.mayHaveRun() && outcome instanceof AttemptOutcome.MayHaveRun;
        if (judged.isEmpty() || failedElsewhere) {
            return;
        }
        evidence.record(
                new EvidenceKey(
                        service,
                        version,
                        attempts.route().name(),
                        target.node(),
                        target.dataCentre()),
                judged.get(),
                toCallResult(outcome),
                micros,
                view.targets(service, version).size(),
                wallMillis);
    }

    private static Optional<RolloutProgress> judgedRollout(
            MeshConfiguration configuration, String service, long wallMillis) {
        return configuration
                .rollout(service)
                .filter(
                        progress ->
                                configuration
                                        .document()
                                        .service(service)
                                        .flatMap(Service::rollout)
                                        .filter(
                                                rollout ->
                                                        RolloutJudge.isJudged(
                                                                rollout, progress, wallMillis))
                                        .isPresent());
    }

    private static CallResult toCallResult(AttemptOutcome outcome) {
        return switch (outcome) {
            case AttemptOutcome.Answered answered ->
                    CallAnswers.isFailure(answered.status())
                            ? CallResult.FAILED
                            : CallResult.ANSWERED;
            case AttemptOutcome.MayHaveRun lost ->
                    lost.reason().equals(TIMEOUT) ? CallResult.TIMED_OUT : CallResult.LOST;
            case AttemptOutcome.NotRun notRun -> CallResult.REFUSED;
        };
    }
}
