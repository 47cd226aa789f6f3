package org.cuminreach.decisions.rollout;

import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.document.Rollout;
import org.cuminreach.document.RolloutCriteria;
import org.cuminreach.document.ThinEvidence;

/**
 * Judges a rollout by sequential tests with configured error rates, and schedules its stages so
 * that it completes by its deadline.
 */
public final class RolloutJudge {
    private static final long MAX_STAGE_MILLIS = 12_000;
    private static final long MIN_CALLS_TO_OTHER_TARGETS = 8;
    private static final long MAX_CALLS_TO_BAD_TARGET = 40;
    private static final double OTHER_TARGETS_LOG_RATIO = 6.0;
    private static final long MIN_CALLS_PER_ROUTE = 4;
    private static final int ROUTE_CHECK_SHARE_PER_MILLE = 200;
    private static final double MIN_ROUTE_SHARE = 0.01;
    private static final double SUSPECT_LOG_RATIO = 2.0;
    private static final int LAST_STAGE_SHARE_PER_MILLE = 500;

    /** A version that has reached the last stages is suspected on twice as much evidence. */
    private static final double LAST_STAGE_SUSPECT_LOG_RATIO = 2 * SUSPECT_LOG_RATIO;

    /**
     * Input of a decision: the wanted rollout, its progress and the evidence. Non-inferiority is
     * tested only for short rollouts.
     */
    private record RolloutState(
            Rollout wanted,
            RolloutProgress progress,
            RolloutTiming timing,
            Assessment assessment,
            VersionCalls calls,
            boolean nonInferior,
            boolean circuitOpen,
            long collectingSinceMillis,
            long nowMillis) {
        private int sharePerMille() {
            return progress.sharePerMille();
        }

        private boolean isAtWantedShare() {
            return sharePerMille() >= wanted.sharePerMille();
        }

        private long remainingMillis() {
            return wanted.doneBy().toEpochMilli() - nowMillis;
        }
    }

    private RolloutJudge() {}

    /**
     * Judges a rollout that is in progress, or completed and still watched.
     *
     * @param wanted rollout according to the document
     * @param progress current state of the rollout
     * @param store evidence on the service
     * @param nowMillis current wall-clock time, in milliseconds since the epoch
     * @return the verdict
     */
    public static Verdict judge(
            Rollout wanted, RolloutProgress progress, EvidenceStore store, long nowMillis) {
        if (progress.phase() == RolloutPhase.TAKEN_BACK) {
            return new Verdict.Wait();
        }
        List<EvidenceSlot> slots = store.slotsOf(progress.service());
        Assessment assessment = assess(slots, progress.version(), wanted);
        if (assessment.regression().isPresent()) {
            return new Verdict.RollBack(assessment.regression().get());
        }
        if (progress.phase() == RolloutPhase.DONE) {
            return new Verdict.Wait();
        }
        RolloutTiming timing = RolloutTiming.of(wanted, progress);
        RolloutState state =
                new RolloutState(
                        wanted,
                        progress,
                        timing,
                        assessment,
                        VersionCalls.of(slots, progress.version()),
                        timing.isShort() && NonInferiorityTest.isPassed(slots, progress.version()),
                        !slots.isEmpty() && slots.getLast().isCircuitOpen(progress.version()),
                        store.collectingSinceMillis(),
                        nowMillis);
        return judge(state);
    }

    private static Verdict judge(RolloutState state) {
        if (hasExhaustedUnprovenCalls(state)) {
            return new Verdict.RollBack(
                    "after %d calls its part is used up and it is not proven, log likelihood ratio"
                                    .formatted(state.calls().newVersionCalls())
                            + " %.1f".formatted(state.assessment().logLikelihoodRatio()));
        }
        if (isDeadlineReached(state)) {
            return judgeAtDeadline(state);
        }
        boolean isHeld =
                state.assessment().logLikelihoodRatio() > SUSPECT_LOG_RATIO || state.circuitOpen();
        Optional<Verdict> step = isHeld ? Optional.empty() : tryAdvance(state);
        return step.orElseGet(() -> judgeAtDeadline(state));
    }

    /**
     * Tells whether a rollout is still to be judged.
     *
     * @param wanted rollout according to the document
     * @param progress current state of the rollout
     * @param nowMillis current wall-clock time, in milliseconds since the epoch
     * @return true while it is in progress, and for its watch time after completion
     */
    public static boolean isJudged(Rollout wanted, RolloutProgress progress, long nowMillis) {
        long watchMillis = wanted.criteria().watchSeconds() * 1_000L;
        boolean watched =
                progress.phase() == RolloutPhase.DONE
                        && nowMillis - progress.steppedMillis() < watchMillis;
        return progress.phase().isInProgress() || watched;
    }

    private static boolean isDeadlineReached(RolloutState state) {
        boolean finishesEarly = state.wanted().criteria().thinEvidence() == ThinEvidence.FINISH;
        return state.progress().phase() == RolloutPhase.MOVING
                && (state.remainingMillis() <= 0
                        || finishesEarly
                                && state.remainingMillis() <= state.timing().finishingMillis());
    }

    /**
     * Tells whether an unproven version has received more calls than it may receive in the whole of
     * a short rollout.
     */
    private static boolean hasExhaustedUnprovenCalls(RolloutState state) {
        long totalMillis =
                state.wanted().doneBy().toEpochMilli() - state.progress().startedMillis();
        double expectedCalls = state.calls().callsPerMilli(state.nowMillis()) * totalMillis;
        if (!state.timing().isShort()
                || state.calls().newVersionCalls()
                        <= RolloutTiming.maxUnprovenCalls(expectedCalls)) {
            return false;
        }
        boolean isLastStage = state.sharePerMille() >= LAST_STAGE_SHARE_PER_MILLE;
        return !state.nonInferior()
                || state.assessment().logLikelihoodRatio()
                        > (isLastStage ? LAST_STAGE_SUSPECT_LOG_RATIO : SUSPECT_LOG_RATIO);
    }

    /** Assesses the version; a regression on only one of several targets is a target fault. */
    private static Assessment assess(List<EvidenceSlot> slots, String version, Rollout wanted) {
        VersionComparison comparison = VersionComparison.of(slots, version, wanted.criteria());
        Assessment all = comparison.assess(Optional.empty());
        if (all.regression().isEmpty() || comparison.targets().size() < 2) {
            return all;
        }
        for (String target : comparison.targets()) {
            Assessment otherTargets = comparison.assess(Optional.of(target));
            if (otherTargets.regression().isEmpty()
                    && otherTargets.logLikelihoodRatio() < OTHER_TARGETS_LOG_RATIO) {
                return withoutTarget(all, otherTargets);
            }
        }
        return all;
    }

    private static Assessment withoutTarget(Assessment all, Assessment otherTargets) {
        long callsToTarget = all.callCount() - otherTargets.callCount();
        boolean enoughOtherCalls = otherTargets.callCount() >= MIN_CALLS_TO_OTHER_TARGETS;
        if (enoughOtherCalls) {
            return otherTargets;
        }
        boolean isTargetCallLimitReached = callsToTarget >= MAX_CALLS_TO_BAD_TARGET;
        return isTargetCallLimitReached
                ? all
                : new Assessment(
                        Optional.empty(), all.logLikelihoodRatio(), otherTargets.callsByRoute());
    }

    private static Optional<Verdict> tryAdvance(RolloutState state) {
        RolloutTiming timing = state.timing();
        long observedSince =
                Math.max(state.collectingSinceMillis(), state.progress().startedMillis());
        boolean hasBaseline = state.nowMillis() - observedSince >= timing.baselineMillis();
        if (state.sharePerMille() == 0 && !hasBaseline) {
            return Optional.empty();
        }
        long leftMillis = state.remainingMillis() - timing.finishingMillis();
        int steps = RolloutStages.stagesLeft(state.sharePerMille(), state.wanted().sharePerMille());
        long allowedMillis = Math.max(0, leftMillis) / steps;
        if (state.nowMillis() - state.progress().steppedMillis()
                < stageMillis(state, allowedMillis)) {
            return Optional.empty();
        }
        if (hasEnoughEvidence(state)) {
            return Optional.of(advanceOrComplete(state, state.sharePerMille()));
        }
        return state.nowMillis() - state.collectingSinceMillis() < timing.observationMillis()
                ? Optional.empty()
                : tryAdvanceOnThinTraffic(state, allowedMillis);
    }

    private static long stageMillis(RolloutState state, long allowedMillis) {
        if (state.sharePerMille() == 0) {
            return 0;
        }
        long minStageMillis = state.timing().minStageMillis();
        return Math.clamp(
                state.timing().isShort() ? allowedMillis * 3 / 4 : allowedMillis / 2,
                state.isAtWantedShare()
                        ? Math.max(minStageMillis, RolloutTiming.SETTLING_MILLIS)
                        : minStageMillis,
                MAX_STAGE_MILLIS);
    }

    private static boolean hasEnoughEvidence(RolloutState state) {
        if (state.sharePerMille() == 0) {
            return true;
        }
        Assessment assessment = state.assessment();
        long needed = RolloutStages.callsNeeded(state.sharePerMille(), state.wanted().criteria());
        if (assessment.callCount() < needed) {
            return false;
        }
        if (state.sharePerMille() < ROUTE_CHECK_SHARE_PER_MILLE) {
            return true;
        }
        if (state.timing().isShort()) {
            return state.nonInferior();
        }
        return state.calls().oldRoutes(MIN_ROUTE_SHARE).stream()
                .allMatch(
                        route ->
                                assessment.callsByRoute().getOrDefault(route, 0L)
                                        >= MIN_CALLS_PER_ROUTE);
    }

    private static Verdict advanceOrComplete(RolloutState state, int from) {
        String reason = "no badness over " + state.assessment().callCount() + " calls";
        if (state.isAtWantedShare()) {
            return new Verdict.Done(reason);
        }
        boolean isFirstShortStage = from == 0 && state.timing().isShort();
        int stage =
                isFirstShortStage
                        ? RolloutTiming.FIRST_SHARE_PER_MILLE
                        : RolloutStages.nextStage(from);
        return new Verdict.Advance(Math.min(stage, state.wanted().sharePerMille()), reason);
    }

    /** Increases the share when the stage would not collect enough evidence in its allowed time. */
    private static Optional<Verdict> tryAdvanceOnThinTraffic(
            RolloutState state, long allowedMillis) {
        long calls = state.assessment().callCount();
        double callsPerMilli = state.calls().callsPerMilli(state.nowMillis());
        RolloutCriteria criteria = state.wanted().criteria();
        long missingCalls = RolloutStages.callsNeeded(state.sharePerMille(), criteria) - calls;
        double newVersionCallsPerMilli = callsPerMilli * state.sharePerMille() / 1_000.0;
        boolean inTime = missingCalls <= newVersionCallsPerMilli * allowedMillis;
        int maxShare = RolloutStages.maxShareForThinTraffic(calls, callsPerMilli, criteria);
        int next = Math.min(maxShare, state.wanted().sharePerMille());
        if (inTime || callsPerMilli == 0) {
            return Optional.empty();
        }
        if (next > state.sharePerMille()) {
            return Optional.of(
                    new Verdict.Advance(next, "thin traffic, no badness over " + calls + " calls"));
        }
        return state.isAtWantedShare() && maxShare >= state.sharePerMille()
                ? Optional.of(advanceOrComplete(state, maxShare))
                : Optional.empty();
    }

    private static Verdict judgeAtDeadline(RolloutState state) {
        ThinEvidence choice = state.wanted().criteria().thinEvidence();
        boolean isUnsuspected = state.assessment().logLikelihoodRatio() <= SUSPECT_LOG_RATIO;
        boolean isObservedLongEnough =
                state.nowMillis() - state.collectingSinceMillis()
                        >= state.timing().observationMillis();
        boolean due = state.remainingMillis() <= state.timing().finishingMillis();
        if (choice == ThinEvidence.FINISH
                && due
                && isUnsuspected
                && isObservedLongEnough
                && mayFinishAtDeadline(state)) {
            return finishAtDeadline(state);
        }
        if (state.remainingMillis() > 0) {
            return new Verdict.Wait();
        }
        if (choice == ThinEvidence.TAKE_BACK && isObservedLongEnough) {
            return new Verdict.RollBack("the set time has come and evidence is too thin");
        }
        return state.progress().phase() == RolloutPhase.LATE
                ? new Verdict.Wait()
                : new Verdict.Late(lateReason(state.assessment()));
    }

    /**
     * Tells whether a rollout may be finished at its deadline. A short rollout may not when the
     * full share would send many calls to the version before it has passed the non-inferiority
     * test.
     */
    private static boolean mayFinishAtDeadline(RolloutState state) {
        double callsAtFullShare =
                state.calls().callsPerMilli(state.nowMillis()) * state.timing().finishingMillis();
        boolean sendsManyCalls = callsAtFullShare > RolloutTiming.UNPROVEN_SLACK_CALLS;
        return !state.timing().isShort() || !sendsManyCalls || state.nonInferior();
    }

    private static Verdict finishAtDeadline(RolloutState state) {
        if (!state.isAtWantedShare()) {
            return new Verdict.Advance(
                    state.wanted().sharePerMille(),
                    "the set time is near and no badness has shown");
        }
        long settlingMillis =
                Math.max(state.timing().minStageMillis(), RolloutTiming.SETTLING_MILLIS);
        boolean isSettled = state.nowMillis() - state.progress().steppedMillis() >= settlingMillis;
        return isSettled
                ? new Verdict.Done("the set time is near and no badness has shown")
                : new Verdict.Wait();
    }

    private static String lateReason(Assessment assessment) {
        return assessment.logLikelihoodRatio() > SUSPECT_LOG_RATIO
                ? "badness is suspected, log likelihood ratio %.1f"
                        .formatted(assessment.logLikelihoodRatio())
                : "evidence is thin: " + assessment.callCount() + " calls";
    }
}
