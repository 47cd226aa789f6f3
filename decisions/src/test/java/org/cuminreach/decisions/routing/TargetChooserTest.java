package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cuminreach.settings.Address;

class TargetChooserTest {
    private static final int SLOTS = 9;
    private static final double RUN_MILLIS = 120;
    private static final double SLACK_MILLIS = 220;
    private static final int CALLS = 1_000;

    private final List<TargetView> targets = new ArrayList<>();

    private TargetStatistics addTarget(
            String node, String dataCentre, TargetStatistics statistics) {
        Address address = new Address("127.0.0.1", 1);
        targets.add(new TargetView(node, node, dataCentre, address, SLOTS, statistics));
        return statistics;
    }

    private List<TargetStatistics> addSixTargets() {
        List<TargetStatistics> statistics = new ArrayList<>();
        for (int index = 0; index < 6; index++) {
            String dataCentre = index % 3 == 0 ? "local" : "remote";
            statistics.add(addTarget("n" + index, dataCentre, TargetStatistics.warm(SLOTS)));
        }
        return statistics;
    }

    private Map<String, Integer> choices(boolean mayProbe, long nowMillis, long seed) {
        Random random = new Random(seed);
        Map<String, Integer> chosen = new HashMap<>();
        for (int call = 0; call < CALLS; call++) {
            TargetChoice choice =
                    TargetChooser.choose(targets, Set.of(), mayProbe, "local", nowMillis, random);
            if (choice instanceof TargetChoice.Chosen selected) {
                chosen.merge(selected.target().node(), 1, Integer::sum);
            }
        }
        return chosen;
    }

    private static void recordCalls(
            TargetStatistics statistics, TargetCallResult result, int times, long now) {
        for (int call = 0; call < times; call++) {
            statistics.recordSent(now);
            statistics.recordResult(result, 5, now);
        }
    }

    @Property(seed = "61", tries = 20)
    void idleLocalTargetsArePreferred(@ForAll long seed) {
        addSixTargets();

        Map<String, Integer> chosen = choices(true, 0, seed);

        assertThat(chosen.keySet()).containsExactly("n0", "n3");
        assertThat(chosen.get("n0")).isWithin(100).of(CALLS / 2);
        targets.clear();
    }

    @Property(seed = "62", tries = 20)
    void fullLocalTargetsSpillOverBeforeCallsQueue(@ForAll long seed) {
        List<TargetStatistics> statistics = addSixTargets();
        for (int call = 0; call < SLOTS; call++) {
            statistics.get(0).recordSent(0);
            statistics.get(3).recordSent(0);
        }

        Map<String, Integer> chosen = choices(true, 0, seed);

        assertThat(chosen.keySet()).containsExactly("n1", "n2", "n4", "n5");
        targets.clear();
    }

    /** Two of six targets are local, with nine slots each. */
    @Property(seed = "64", tries = 20)
    void shortLocalQueueIsPreferredWhereLinksAreCostly(@ForAll long seed) {
        List<TargetStatistics> statistics = addSixTargets();
        for (int call = 0; call < SLOTS + 2; call++) {
            statistics.get(0).recordSent(0);
            statistics.get(3).recordSent(0);
        }
        Random random = new Random(seed);
        TargetChoice.Chosen withShortQueue = chooseWithCostlyLinks(1, random);
        for (int call = 0; call < SLOTS; call++) {
            statistics.get(0).recordSent(0);
            statistics.get(3).recordSent(0);
        }
        TargetChoice.Chosen withLongQueue = chooseWithCostlyLinks(1, random);

        assertThat(withShortQueue.reason()).isEqualTo("own_data_centre");
        assertThat(withLongQueue.reason()).isEqualTo("spilled");
        targets.clear();
    }

    @Property(seed = "65", tries = 20)
    void smallCallsSpillOverFirst(@ForAll long seed) {
        List<TargetStatistics> statistics = addSixTargets();
        for (int call = 0; call < SLOTS + 4; call++) {
            statistics.get(0).recordSent(0);
            statistics.get(3).recordSent(0);
        }

        assertThat(chooseWithCostlyLinks(0.3, new Random(seed)).reason()).isEqualTo("spilled");
        assertThat(chooseWithCostlyLinks(1.5, new Random(seed)).reason())
                .isEqualTo("own_data_centre");
        targets.clear();
    }

    private TargetChoice.Chosen chooseWithCostlyLinks(double relativeSize, Random random) {
        return (TargetChoice.Chosen)
                TargetChooser.choose(
                        targets,
                        Set.of(),
                        new CallRequirements(true, 2, RUN_MILLIS, SLACK_MILLIS, relativeSize),
                        "local",
                        LoadBalancingPolicy.forCostlyLinks(),
                        0,
                        random);
    }

    @Property(seed = "63", tries = 20)
    void manySuspectsDoNotOverloadHealthyTargets(
            @ForAll long seed, @ForAll @IntRange(min = 4, max = 5) int suspects) {
        List<TargetStatistics> statistics = addSixTargets();
        for (int index = 0; index < suspects; index++) {
            recordCalls(statistics.get(index), TargetCallResult.LOST, 3, 0);
        }

        Map<String, Integer> chosen = choices(true, 1, seed);

        for (int index = suspects; index < 6; index++) {
            assertThat(chosen.get("n" + index)).isAtMost(CALLS / 2);
        }
        targets.clear();
    }

    @Property(seed = "64", tries = 20)
    void fewSuspectsAndUnreachableTargetsAreAvoided(@ForAll long seed) {
        List<TargetStatistics> statistics = addSixTargets();
        recordCalls(statistics.get(0), TargetCallResult.LOST, 3, 0);
        recordCalls(statistics.get(1), TargetCallResult.UNREACHABLE, 1, 0);
        recordCalls(statistics.get(2), TargetCallResult.UNREACHABLE, 1, 0);

        Map<String, Integer> chosen = choices(true, 1, seed);

        assertThat(chosen).doesNotContainKey("n0");
        assertThat(chosen).doesNotContainKey("n1");
        assertThat(chosen).doesNotContainKey("n2");
        targets.clear();
    }

    @Example
    void unreachableTargetIsProbedBySingleCallsWithBackoff() {
        TargetStatistics dead = addTarget("dead", "local", TargetStatistics.warm(SLOTS));
        addTarget("good", "local", TargetStatistics.warm(SLOTS));
        Random random = new Random(1);
        int probes = 0;
        for (long now = 0; now < 30_000; now += 5) {
            TargetChoice choice =
                    TargetChooser.choose(targets, Set.of(), true, "local", now, random);
            if (((TargetChoice.Chosen) choice).target().statistics() == dead) {
                probes++;
                dead.recordSent(now);
                TargetChoice second =
                        TargetChooser.choose(targets, Set.of(), true, "local", now, random);
                if (probes > 1) {
                    assertThat(((TargetChoice.Chosen) second).target().node()).isEqualTo("good");
                }
                dead.recordResult(TargetCallResult.UNREACHABLE, 5, now);
            }
        }

        assertThat(probes).isAtLeast(5);
        assertThat(probes).isAtMost(12);
    }

    @Example
    void nonRepeatableCallProbesSuspectOnlyWhenNoOtherCallDoes() {
        TargetStatistics suspect = addTarget("suspect", "local", TargetStatistics.warm(SLOTS));
        addTarget("good", "local", TargetStatistics.warm(SLOTS));
        addTarget("other", "local", TargetStatistics.warm(SLOTS));
        recordCalls(suspect, TargetCallResult.LOST, 3, 0);

        assertThat(choices(false, 4_000, 1)).doesNotContainKey("suspect");
        assertThat(choices(true, 4_000, 1)).containsKey("suspect");
        assertThat(choices(false, 60_000, 1)).containsKey("suspect");
    }

    @Example
    void nonRepeatableCallProbesUnreachableTarget() {
        TargetStatistics dead = addTarget("dead", "local", TargetStatistics.warm(SLOTS));
        addTarget("good", "local", TargetStatistics.warm(SLOTS));
        recordCalls(dead, TargetCallResult.UNREACHABLE, 1, 0);

        assertThat(choices(false, 60_000, 1)).containsKey("dead");
    }

    @Example
    void targetThatShedsIsAvoidedBrieflyAndStaysHealthy() {
        TargetStatistics full = addTarget("full", "local", TargetStatistics.warm(SLOTS));
        addTarget("other", "remote", TargetStatistics.warm(SLOTS));
        recordCalls(full, TargetCallResult.SHED, 1, 0);

        assertThat(choices(true, 1, 1)).doesNotContainKey("full");
        assertThat(choices(true, 1_000, 1)).containsKey("full");
    }

    @Example
    void drainingTargetGetsNoCalls() {
        TargetStatistics draining = addTarget("draining", "local", TargetStatistics.warm(SLOTS));
        addTarget("other", "remote", TargetStatistics.warm(SLOTS));
        draining.recordLoadReport(new LoadReport(3, 0, SLOTS, true), 0);

        assertThat(choices(true, 0, 1)).doesNotContainKey("draining");
        assertThat(choices(true, 600_000, 1)).doesNotContainKey("draining");
    }

    @Example
    void coldTargetStartsSlowly() {
        TargetStatistics cold = addTarget("cold", "local", TargetStatistics.cold(SLOTS, 0));
        addTarget("warm", "local", TargetStatistics.warm(SLOTS));

        assertThat(cold.load(1_000)).isGreaterThan(5 * cold.load(10_000));
        assertThat(choices(true, 1_000, 1)).doesNotContainKey("cold");
    }

    @Example
    void targetThatFailsFastDoesNotAttractCalls() {
        TargetStatistics failing = addTarget("failing", "local", TargetStatistics.warm(SLOTS));
        addTarget("good", "local", TargetStatistics.warm(SLOTS));
        recordCalls(failing, TargetCallResult.FAILED, 20, 0);

        assertThat(choices(true, 1, 1).getOrDefault("failing", 0)).isAtMost(CALLS / 10);
    }

    @Example
    void slowTargetGetsFewerCalls() {
        TargetStatistics slow = addTarget("slow", "local", TargetStatistics.warm(SLOTS));
        TargetStatistics quick = addTarget("quick", "local", TargetStatistics.warm(SLOTS));
        for (int call = 0; call < 50; call++) {
            slow.recordSent(0);
            slow.recordResult(TargetCallResult.SUCCEEDED, 25, 0);
            quick.recordSent(0);
            quick.recordResult(TargetCallResult.SUCCEEDED, 5, 0);
        }
        quick.recordSent(0);

        assertThat(choices(true, 1, 1)).doesNotContainKey("slow");
    }

    @Example
    void misleadingReportsAreIgnored() {
        TargetStatistics misleading =
                addTarget("misleading", "local", TargetStatistics.warm(SLOTS));
        misleading.recordLoadReport(new LoadReport(8, 0, SLOTS, false), 0);
        double loadByReport = misleading.load(1);
        misleading.recordLoadReport(new LoadReport(0, 0, SLOTS, false), 1);
        recordCalls(misleading, TargetCallResult.SHED, 1, 2);
        misleading.recordLoadReport(new LoadReport(8, 0, SLOTS, false), 3);

        assertThat(misleading.load(3)).isLessThan(loadByReport);
        assertThat(misleading.status(3)).isEqualTo(TargetStatus.PUSHED_BACK);
    }

    @Property(seed = "65", tries = 200)
    void someUntriedTargetIsAlwaysChosenWhileNoneDrains(
            @ForAll long seed, @ForAll boolean mayProbe) {
        List<TargetStatistics> statistics = addSixTargets();
        Random random = new Random(seed);
        TargetCallResult[] results = TargetCallResult.values();
        for (TargetStatistics each : statistics) {
            recordCalls(each, results[random.nextInt(results.length)], random.nextInt(5), 0);
        }
        TargetChoice choice =
                TargetChooser.choose(
                        targets, Set.of("n1"), mayProbe, "local", random.nextInt(3_000), random);

        assertThat(choice).isInstanceOf(TargetChoice.Chosen.class);
        assertThat(((TargetChoice.Chosen) choice).target().node()).isNotEqualTo("n1");
        targets.clear();
    }
}
