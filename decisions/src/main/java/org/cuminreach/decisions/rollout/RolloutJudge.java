package org.cuminreach.decisions.rollout;

import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.document.Rollout;
import org.cuminreach.document.RolloutCriteria;
import org.cuminreach.document.ThinEvidence;

/**
 * Judges a rollout by sequential tests with stated error rates, and paces its stages against the
 * time by which it is to be done.
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

    /** A version that has passed its stages is suspected by twice as much evidence. */
    private static final double LAST_STAGE_SUSPECT_LOG_RATIO = 2 * SUSPECT_LOG_RATIO;

    /**
     * A move as it stands: what is wanted, where it is, and what calls have shown. Only of a short
     * move it is known whether they have shown the version to be good.
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
     * Judges a rollout that is moving, or done and still watched.
     *
     * @param wanted what the document wants
     * @param progress where the rollout stands
     * @param ledger what was seen of the service
     * @param nowMillis present wall-clock time, in milliseconds since the epoch
     * @return the verdict
     */
    public static Verdict judge(
            Rollout wanted, RolloutProgress progress, EvidenceStore ledger, long nowMillis) {
        if (progress.phase() == RolloutPhase.TAKEN_BACK) {
            return new Verdict.Wait();
        }
        List<EvidenceSlot> slots = ledger.slotsOf(progress.service());
        Assessment assessment = assess(slots, progress.version(), wanted);
        if (assessment.regression().isPresent()) {
            return new Verdict.RollBack(assessment.regression().get());
        }
        if (progress.phase() == RolloutPhase.DONE) {
            return new Verdict.Wait();
        }
        RolloutTiming timing = RolloutTiming.of(wanted, progress);
        RolloutState move =
                new RolloutState(
                        wanted,
                        progress,
                        timing,
                        assessment,
                        VersionCalls.of(slots, progress.version()),
                        timing.isShort() && NonInferiorityTest.isPassed(slots, progress.version()),
                        !slots.isEmpty() && slots.getLast().isCircuitOpen(progress.version()),
                        ledger.collectingSinceMillis(),
                        nowMillis);
        return judge(move);
    }

    private static Verdict judge(RolloutState move) {
        if (hasExhaustedUnprovenCalls(move)) {
            return new Verdict.RollBack(
                    "after %d calls its part is used up and it is not proven, log likelihood ratio"
                                    .formatted(move.calls().newVersionCalls())
                            + " %.1f".formatted(move.assessment().logLikelihoodRatio()));
        }
        if (isDeadlineReached(move)) {
            return judgeAtDeadline(move);
        }
        boolean stays =
                move.assessment().logLikelihoodRatio() > SUSPECT_LOG_RATIO || move.circuitOpen();
        Optional<Verdict> step = stays ? Optional.empty() : tryAdvance(move);
        return step.orElseGet(() -> judgeAtDeadline(move));
    }

    /**
     * Tells whether a rollout is still to be judged.
     *
     * @param wanted what the document wants
     * @param progress where the rollout stands
     * @param nowMillis present wall-clock time, in milliseconds since the epoch
     * @return true while it moves, and for its time of watching after it is done
     */
    public static boolean isJudged(Rollout wanted, RolloutProgress progress, long nowMillis) {
        long watchMillis = wanted.criteria().watchSeconds() * 1_000L;
        boolean watched =
                progress.phase() == RolloutPhase.DONE
                        && nowMillis - progress.steppedMillis() < watchMillis;
        return progress.phase().isMoving() || watched;
    }

    private static boolean isDeadlineReached(RolloutState move) {
        boolean finishes = move.wanted().criteria().thinEvidence() == ThinEvidence.FINISH;
        return move.progress().phase() == RolloutPhase.MOVING
                && (move.remainingMillis() <= 0
                        || finishes && move.remainingMillis() <= move.timing().finishingMillis());
    }

    /**
     * Tells whether a short move has sent the new version as many calls as an unproven one may get
     * in the whole of its time.
     */
    private static boolean hasExhaustedUnprovenCalls(RolloutState move) {
        long total = move.wanted().doneBy().toEpochMilli() - move.progress().startedMillis();
        double expectedCalls = move.calls().callsPerMillisecond(move.nowMillis()) * total;
        if (!move.timing().isShort()
                || move.calls().newVersionCalls()
                        <= RolloutTiming.maxUnprovenCalls(expectedCalls)) {
            return false;
        }
        boolean proven = move.sharePerMille() >= LAST_STAGE_SHARE_PER_MILLE;
        return !move.nonInferior()
                || move.assessment().logLikelihoodRatio()
                        > (proven ? LAST_STAGE_SUSPECT_LOG_RATIO : SUSPECT_LOG_RATIO);
    }

    /** Badness that only one of several targets shows is a fault of that target. */
    private static Assessment assess(List<EvidenceSlot> slots, String version, Rollout wanted) {
        VersionComparison comparison = VersionComparison.of(slots, version, wanted.criteria());
        Assessment whole = comparison.assess(Optional.empty());
        if (whole.regression().isEmpty() || comparison.targets().size() < 2) {
            return whole;
        }
        for (String target : comparison.targets()) {
            Assessment rest = comparison.assess(Optional.of(target));
            if (rest.regression().isEmpty()
                    && rest.logLikelihoodRatio() < OTHER_TARGETS_LOG_RATIO) {
                return withoutTarget(whole, rest);
            }
        }
        return whole;
    }

    private static Assessment withoutTarget(Assessment whole, Assessment rest) {
        long ofTarget = whole.callCount() - rest.callCount();
        boolean others = rest.callCount() >= MIN_CALLS_TO_OTHER_TARGETS;
        if (others) {
            return rest;
        }
        boolean waitedEnough = ofTarget >= MAX_CALLS_TO_BAD_TARGET;
        return waitedEnough
                ? whole
                : new Assessment(Optional.empty(), whole.logLikelihoodRatio(), rest.callsByRoute());
    }

    private static Optional<Verdict> tryAdvance(RolloutState move) {
        RolloutTiming timing = move.timing();
        long listenedFrom = Math.max(move.collectingSinceMillis(), move.progress().startedMillis());
        boolean looked = move.nowMillis() - listenedFrom >= timing.baselineMillis();
        if (move.sharePerMille() == 0 && !looked) {
            return Optional.empty();
        }
        long left = move.remainingMillis() - timing.finishingMillis();
        int steps = RolloutStages.stagesLeft(move.sharePerMille(), move.wanted().sharePerMille());
        long allowed = Math.max(0, left) / steps;
        if (move.nowMillis() - move.progress().steppedMillis() < stageMillis(move, allowed)) {
            return Optional.empty();
        }
        if (hasEnoughEvidence(move)) {
            return Optional.of(advanceOrComplete(move, move.sharePerMille()));
        }
        return move.nowMillis() - move.collectingSinceMillis() < timing.observationMillis()
                ? Optional.empty()
                : tryAdvanceOnThinTraffic(move, allowed);
    }

    private static long stageMillis(RolloutState move, long allowedMillis) {
        if (move.sharePerMille() == 0) {
            return 0;
        }
        long shortest = move.timing().minStageMillis();
        return Math.clamp(
                move.timing().isShort() ? allowedMillis * 3 / 4 : allowedMillis / 2,
                move.isAtWantedShare()
                        ? Math.max(shortest, RolloutTiming.SETTLING_MILLIS)
                        : shortest,
                MAX_STAGE_MILLIS);
    }

    private static boolean hasEnoughEvidence(RolloutState move) {
        if (move.sharePerMille() == 0) {
            return true;
        }
        Assessment assessment = move.assessment();
        long needed = RolloutStages.callsNeeded(move.sharePerMille(), move.wanted().criteria());
        if (assessment.callCount() < needed) {
            return false;
        }
        if (move.sharePerMille() < ROUTE_CHECK_SHARE_PER_MILLE) {
            return true;
        }
        if (move.timing().isShort()) {
            return move.nonInferior();
        }
        return move.calls().oldRoutes(MIN_ROUTE_SHARE).stream()
                .allMatch(
                        route ->
                                assessment.callsByRoute().getOrDefault(route, 0L)
                                        >= MIN_CALLS_PER_ROUTE);
    }

    private static Verdict advanceOrComplete(RolloutState move, int from) {
        String reason = "no badness over " + move.assessment().callCount() + " calls";
        if (move.isAtWantedShare()) {
            return new Verdict.Done(reason);
        }
        boolean startsShort = from == 0 && move.timing().isShort();
        int stage =
                startsShort ? RolloutTiming.FIRST_SHARE_PER_MILLE : RolloutStages.nextStage(from);
        return new Verdict.Advance(Math.min(stage, move.wanted().sharePerMille()), reason);
    }

    /** Where the stage would not prove itself in its part of the time left, the share is larger. */
    private static Optional<Verdict> tryAdvanceOnThinTraffic(
            RolloutState move, long allowedMillis) {
        long calls = move.assessment().callCount();
        double callsPerMilli = move.calls().callsPerMillisecond(move.nowMillis());
        RolloutCriteria criteria = move.wanted().criteria();
        long missing = RolloutStages.callsNeeded(move.sharePerMille(), criteria) - calls;
        double perMilli = callsPerMilli * move.sharePerMille() / 1_000.0;
        boolean inTime = missing <= perMilli * allowedMillis;
        int share = RolloutStages.maxShareForThinTraffic(calls, callsPerMilli, criteria);
        int next = Math.min(share, move.wanted().sharePerMille());
        if (inTime || callsPerMilli == 0) {
            return Optional.empty();
        }
        if (next > move.sharePerMille()) {
            return Optional.of(
                    new Verdict.Advance(next, "thin traffic, no badness over " + calls + " calls"));
        }
        return move.isAtWantedShare() && share >= move.sharePerMille()
                ? Optional.of(advanceOrComplete(move, share))
                : Optional.empty();
    }

    private static Verdict judgeAtDeadline(RolloutState move) {
        ThinEvidence choice = move.wanted().criteria().thinEvidence();
        boolean calm = move.assessment().logLikelihoodRatio() <= SUSPECT_LOG_RATIO;
        boolean listened =
                move.nowMillis() - move.collectingSinceMillis()
                        >= move.timing().observationMillis();
        boolean due = move.remainingMillis() <= move.timing().finishingMillis();
        if (choice == ThinEvidence.FINISH && due && calm && listened && mayFinishAtDeadline(move)) {
            return finishAtDeadline(move);
        }
        if (move.remainingMillis() > 0) {
            return new Verdict.Wait();
        }
        if (choice == ThinEvidence.TAKE_BACK && listened) {
            return new Verdict.RollBack("the set time has come and evidence is too thin");
        }
        return move.progress().phase() == RolloutPhase.LATE
                ? new Verdict.Wait()
                : new Verdict.Late(lateReason(move.assessment()));
    }

    /**
     * Tells whether a short move may be finished at its set time: not on a few calls where the
     * whole share would send it many.
     */
    private static boolean mayFinishAtDeadline(RolloutState move) {
        double sent =
                move.calls().callsPerMillisecond(move.nowMillis())
                        * move.timing().finishingMillis();
        boolean many = sent > RolloutTiming.UNPROVEN_SLACK_CALLS;
        return !move.timing().isShort() || !many || move.nonInferior();
    }

    private static Verdict finishAtDeadline(RolloutState move) {
        if (!move.isAtWantedShare()) {
            return new Verdict.Advance(
                    move.wanted().sharePerMille(), "the set time is near and no badness has shown");
        }
        long settled = Math.max(move.timing().minStageMillis(), RolloutTiming.SETTLING_MILLIS);
        boolean inForce = move.nowMillis() - move.progress().steppedMillis() >= settled;
        return inForce
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
