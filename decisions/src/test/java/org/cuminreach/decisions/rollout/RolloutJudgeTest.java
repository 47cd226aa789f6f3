package org.cuminreach.decisions.rollout;

import static com.google.common.truth.Truth.assertThat;
import static org.cuminreach.decisions.rollout.EvidenceFixture.NEW;
import static org.cuminreach.decisions.rollout.EvidenceFixture.OLD;
import static org.cuminreach.decisions.rollout.EvidenceFixture.calls;
import static org.cuminreach.decisions.rollout.EvidenceFixture.progress;
import static org.cuminreach.decisions.rollout.EvidenceFixture.store;
import static org.cuminreach.decisions.rollout.EvidenceFixture.wanted;

import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.document.Rollout;
import org.cuminreach.document.RolloutCriteria;
import org.cuminreach.document.RolloutPriority;

class RolloutJudgeTest {
    private static final long MICROS = 4_000;
    private static final long DISTANT_DEADLINE_MILLIS = 3_600_000;
    private static final long INTERVAL_MILLIS = 500;

    /** Covers any mix of calls, failures and idle time before a distant deadline. */
    @Property(seed = "21", tries = 150)
    void shareNeverExceedsWhatTheCallsAllow(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 60) int rate,
            @ForAll RolloutPriority priority) {
        SplittableRandom random = new SplittableRandom(seed);
        Rollout wanted = wanted(priority, DISTANT_DEADLINE_MILLIS);
        EvidenceStore store = store(0);
        RolloutProgress progress = progress(RolloutPhase.MOVING, 0, 0);
        long newCalls = 0;
        for (long now = 0; now < 120_000; now += INTERVAL_MILLIS) {
            int answered = random.nextInt(rate + 1);
            int newAnswered = random.nextInt(2 + answered * progress.sharePerMille() / 1_000);
            int failed = random.nextInt(40) == 0 ? 1 : 0;
            store.add(calls(OLD, answered, failed, MICROS), now);
            store.add(calls(NEW, newAnswered, failed, MICROS), now);
            newCalls += newAnswered + failed;
            if (RolloutJudge.judge(wanted, progress, store, now)
                    instanceof Verdict.Advance advance) {
                int maxShare = maxShare(newCalls, rate, wanted.criteria());
                assertThat(advance.sharePerMille()).isAtMost(maxShare);
                progress = progress(RolloutPhase.MOVING, advance.sharePerMille(), now);
            }
        }
    }

    private static int maxShare(long calls, int rate, RolloutCriteria criteria) {
        int maxShare = 10;
        for (int stage : new int[] {10, 50, 200, 500}) {
            if (calls >= RolloutStages.callsNeeded(stage, criteria)) {
                maxShare = RolloutStages.nextStage(stage);
            }
        }
        double callsPerMilli = rate < 4 ? 0 : 0.004;
        return Math.max(
                maxShare, RolloutStages.maxShareForThinTraffic(calls, callsPerMilli, criteria));
    }

    @Property(seed = "22", tries = 100)
    void newLeaderDoesNotActOnThinEvidence(
            @ForAll @IntRange(min = 0, max = 200) int oldCalls,
            @ForAll @IntRange(min = 0, max = 4) int newCalls,
            @ForAll @IntRange(min = 50, max = 500) int share,
            @ForAll @IntRange(min = -60, max = 60) int secondsLeft,
            @ForAll RolloutPriority priority) {
        long now = 1_000_000;
        Rollout wanted = wanted(priority, now + secondsLeft * 1_000L);
        RolloutProgress progress = progress(RolloutPhase.MOVING, share, now - 60_000);
        EvidenceStore store = store(now - 5_000);
        store.add(calls(OLD, oldCalls, 0, MICROS), now - 2_000);
        store.add(calls(NEW, newCalls, 0, MICROS), now - 1_000);

        Verdict verdict = RolloutJudge.judge(wanted, progress, store, now);

        assertThat(verdict).isNotInstanceOf(Verdict.Advance.class);
        assertThat(verdict).isNotInstanceOf(Verdict.Done.class);
        assertThat(verdict).isNotInstanceOf(Verdict.RollBack.class);
    }

    @Property(seed = "23", tries = 200)
    void moreFailuresNeverPreventRollback(
            @ForAll @IntRange(min = 1, max = 60) int calls,
            @ForAll @IntRange(min = 0, max = 60) int failures) {
        int failed = Math.min(calls, failures);
        boolean rolledBack = isRolledBack(calls - failed, failed);
        boolean rolledBackWithMore = failed < calls && isRolledBack(calls - failed - 1, failed + 1);

        assertThat(rolledBack && failed < calls && !rolledBackWithMore).isFalse();
    }

    @Example
    void versionThatFailsImmediatelyIsRolledBackWithinFewCalls() {
        assertThat(isRolledBack(0, 4)).isTrue();
        assertThat(isRolledBack(20, 0)).isFalse();
    }

    private static boolean isRolledBack(int answered, int failed) {
        EvidenceStore store = store(0);
        store.add(calls(OLD, 300, 1, MICROS), 100_000);
        store.add(calls(NEW, answered, failed, MICROS), 100_500);
        RolloutProgress progress = progress(RolloutPhase.MOVING, 10, 90_000);
        return RolloutJudge.judge(
                        wanted(RolloutPriority.SAFETY, DISTANT_DEADLINE_MILLIS),
                        progress,
                        store,
                        101_000)
                instanceof Verdict.RollBack;
    }

    @Property(seed = "24", tries = 50)
    void verdictsAreDeterministic(@ForAll long seed) {
        assertThat(replay(seed)).isEqualTo(replay(seed));
    }

    private static String replay(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        EvidenceStore store = store(0);
        Rollout wanted = wanted(RolloutPriority.SAFETY, 60_000);
        RolloutProgress progress = progress(RolloutPhase.MOVING, 50, 0);
        StringBuilder verdicts = new StringBuilder();
        for (long now = 0; now < 70_000; now += 1_000) {
            store.add(calls(OLD, "old-" + random.nextInt(3), 20, 0, MICROS), now);
            store.add(calls(NEW, "new-" + random.nextInt(3), 3, random.nextInt(2), MICROS), now);
            verdicts.append(RolloutJudge.judge(wanted, progress, store, now)).append('\n');
        }
        return verdicts.toString();
    }

    @Property(seed = "25", tries = 60)
    void overloadOfBothVersionsDoesNotRollBack(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        EvidenceStore store = store(0);
        RolloutProgress progress = progress(RolloutPhase.MOVING, 500, 0);
        for (long now = 0; now < 60_000; now += INTERVAL_MILLIS) {
            boolean overloaded = now >= 20_000;
            long micros = (overloaded ? 8 : 1) * MICROS;
            store.add(calls(OLD, 18, overloaded ? random.nextInt(3) : 0, micros), now);
            store.add(calls(NEW, 18, overloaded ? random.nextInt(3) : 0, micros), now);
            Rollout wanted = wanted(RolloutPriority.SAFETY, DISTANT_DEADLINE_MILLIS);
            assertThat(RolloutJudge.judge(wanted, progress, store, now))
                    .isNotInstanceOf(Verdict.RollBack.class);
        }
    }

    @Example
    void oneBadTargetDoesNotRollBackTheVersion() {
        EvidenceStore store = store(0);
        for (long now = 0; now < 60_000; now += INTERVAL_MILLIS) {
            store.add(calls(OLD, 20, 0, MICROS), now);
            store.add(calls(NEW, "new-0", 0, 1, MICROS), now);
            store.add(calls(NEW, "new-1", 1, 0, MICROS), now);
            store.add(calls(NEW, "new-2", 1, 0, MICROS), now);
            RolloutProgress progress = progress(RolloutPhase.MOVING, 50, 0);
            assertThat(
                            RolloutJudge.judge(
                                    wanted(RolloutPriority.SAFETY, DISTANT_DEADLINE_MILLIS),
                                    progress,
                                    store,
                                    now))
                    .isNotInstanceOf(Verdict.RollBack.class);
        }
    }

    /**
     * A stall of one target ends within one slot; slowness that lasts three slots is a regression.
     */
    @Example
    void lastingSlownessAfterCompletionIsRolledBack() {
        EvidenceStore store = store(0);
        store.add(calls(OLD, 300, 0, MICROS), 0);
        store.add(calls(NEW, 30, 0, MICROS), 500);
        RolloutProgress progress = progress(RolloutPhase.DONE, 1_000, 2_000);
        Rollout wanted = wanted(RolloutPriority.PUNCTUALITY, 3_000);
        store.add(calls(NEW, 30, 0, 8 * MICROS), 4_000);
        assertThat(RolloutJudge.judge(wanted, progress, store, 4_500))
                .isInstanceOf(Verdict.Wait.class);

        store.add(calls(NEW, 30, 0, 8 * MICROS), 6_000);
        store.add(calls(NEW, 30, 0, 8 * MICROS), 8_000);
        assertThat(RolloutJudge.judge(wanted, progress, store, 8_500))
                .isInstanceOf(Verdict.RollBack.class);
    }

    @Example
    void thinEvidenceAtTheDeadlineFollowsThePriority() {
        long now = 100_000;
        EvidenceStore store = store(0);
        store.add(calls(OLD, 3, 0, MICROS), 50_000);
        RolloutProgress progress = progress(RolloutPhase.MOVING, 10, 10_000);

        assertThat(
                        RolloutJudge.judge(
                                wanted(RolloutPriority.SAFETY, now - 1), progress, store, now))
                .isInstanceOf(Verdict.Late.class);
        assertThat(
                        RolloutJudge.judge(
                                wanted(RolloutPriority.PUNCTUALITY, now + 5_000),
                                progress,
                                store,
                                now))
                .isEqualTo(
                        new Verdict.Advance(
                                1_000, "the set time is near and no badness has shown"));
    }
}
