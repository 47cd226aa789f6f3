package org.cuminreach.decisions.poison;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class PoisonRequestTableTest {
    private static final String POISON = "poison";

    @Example
    void requestIsRefusedAfterTwoLossesAndRetriedLater() {
        PoisonRequestTable table = PoisonRequestTable.empty();
        table.recordLoss(POISON, "node-1", 0);
        assertThat(table.remainingRefusalMillis(POISON, 1).isPresent()).isFalse();
        table.recordLoss(POISON, "node-2", 1);

        assertThat(table.remainingRefusalMillis(POISON, 2).getAsLong()).isEqualTo(59_999);
        assertThat(table.remainingRefusalMillis(POISON, 60_001).isPresent()).isFalse();
        table.recordLoss(POISON, "node-3", 60_002);
        assertThat(table.remainingRefusalMillis(POISON, 60_003).isPresent()).isTrue();
    }

    @Example
    void repeatedLossesOfOneTargetDoNotRefuseTheRequest() {
        PoisonRequestTable table = PoisonRequestTable.empty();
        for (int loss = 0; loss < 10; loss++) {
            table.recordLoss(POISON, "node-1", loss);
        }

        assertThat(table.remainingRefusalMillis(POISON, 10).isPresent()).isFalse();
    }

    @Property(seed = "6101", tries = 500)
    void requestWithAnswersBetweenLossesIsNeverRefused(
            @ForAll @Size(max = 60) List<@IntRange(max = 4) Integer> losses) {
        PoisonRequestTable table = PoisonRequestTable.empty();
        long nowMillis = 0;
        for (int node : losses) {
            nowMillis += 100;
            table.recordLoss(POISON, "node-" + node, nowMillis);
            assertThat(table.remainingRefusalMillis(POISON, nowMillis).isPresent()).isFalse();
            table.recordAnswer(POISON);
        }
        assertThat(table.isEmpty()).isTrue();
    }

    @Property(seed = "6102", tries = 300)
    void requestThatAlwaysCrashesLosesAtMostTwoTargetsInOneMinute(
            @ForAll @Size(max = 50) List<@IntRange(max = 9) Integer> nodes) {
        PoisonRequestTable table = PoisonRequestTable.empty();
        Set<String> crashed = new HashSet<>();
        long nowMillis = 0;
        for (int node : nodes) {
            nowMillis += 1_000;
            if (table.remainingRefusalMillis(POISON, nowMillis).isEmpty()) {
                table.recordLoss(POISON, "node-" + node, nowMillis);
                crashed.add("node-" + node);
            }
        }
        assertThat(crashed.size()).isAtMost(PoisonRequestTable.LOSSES_BEFORE_REFUSAL);
    }

    @Property(seed = "6103", tries = 20)
    void tableIsBoundedAndSingleLossesAreNotRefused(
            @ForAll @IntRange(min = 1, max = 5_000) int count) {
        PoisonRequestTable table = PoisonRequestTable.empty();
        Map<Integer, Boolean> refused = new HashMap<>();
        for (int request = 0; request < count; request++) {
            table.recordLoss("request-" + request, "node-1", request);
            refused.put(
                    request,
                    table.remainingRefusalMillis("request-" + request, request).isPresent());
        }
        long suspectedRequests =
                refused.keySet().stream()
                        .filter(request -> table.isSuspect("request-" + request))
                        .count();
        assertThat(suspectedRequests).isAtMost(1_000);
        assertThat(refused.values()).doesNotContain(true);
    }

    @Example
    void manyRequestsWithOneLossDoNotEvictPoisonRequest() {
        PoisonRequestTable table = PoisonRequestTable.empty();
        table.recordLoss(POISON, "node-1", 0);
        table.recordLoss(POISON, "node-2", 1);
        for (int request = 0; request < 5_000; request++) {
            table.recordLoss("request-" + request, "node-1", 2);
        }

        assertThat(table.remainingRefusalMillis(POISON, 3).isPresent()).isTrue();
    }

    @Example
    void requestThatCrashedTargetsOfOtherNodesIsRefusedAfterThreeLosses() {
        PoisonRequestTable table = PoisonRequestTable.empty();
        table.merge(
                lost(new TargetLoss("node-1", 200, false), new TargetLoss("node-2", 100, false)),
                1_000);
        assertThat(table.remainingRefusalMillis(POISON, 1_000).isPresent()).isFalse();
        table.recordLoss(POISON, "node-3", 1_100);

        assertThat(table.remainingRefusalMillis(POISON, 1_100).getAsLong()).isEqualTo(60_000);
    }

    @Example
    void refusalIsLongerAfterEachLossThatFollowsIt() {
        PoisonRequestTable table = PoisonRequestTable.empty();
        long nowMillis = 0;
        long previousMillis = 0;
        for (int loss = 0; loss < 6; loss++) {
            nowMillis += 700_000;
            table.recordLoss(POISON, "node-" + loss, nowMillis);
            long refusalMillis = table.remainingRefusalMillis(POISON, nowMillis).orElse(0);
            assertThat(refusalMillis).isAtLeast(previousMillis);
            previousMillis = refusalMillis;
        }
        assertThat(previousMillis).isEqualTo(480_000);
    }

    @Example
    void lossOfOneTargetReportedTwiceCountsOnce() {
        PoisonRequestTable table = PoisonRequestTable.empty();
        table.merge(lost(new TargetLoss("node-1", 0, false)), 1_000);
        table.merge(lost(new TargetLoss("node-1", 480, false)), 1_490);
        table.merge(lost(new TargetLoss("node-2", 0, false)), 1_500);

        assertThat(table.remainingRefusalMillis(POISON, 1_500).isPresent()).isFalse();
    }

    @Example
    void singleTargetThatIsLostAgainAndAgainDoesNotRefuseTheRequest() {
        PoisonRequestTable table = PoisonRequestTable.empty();
        for (int loss = 0; loss < 10; loss++) {
            table.recordLoss(POISON, "node-1", loss * 2_000L);
        }

        assertThat(table.remainingRefusalMillis(POISON, 20_000).isPresent()).isFalse();
    }

    @Example
    void requestThatEndsItsOnlyTargetThreeTimesIsRefused() {
        PoisonRequestTable table = PoisonRequestTable.empty();
        table.recordTargetEnd(POISON, "node-1", 0);
        table.merge(lost(new TargetLoss("node-1", 0, true)), 2_000);
        assertThat(table.remainingRefusalMillis(POISON, 2_000).isPresent()).isFalse();
        table.recordTargetEnd(POISON, "node-1", 4_000);

        assertThat(table.remainingRefusalMillis(POISON, 4_000).getAsLong()).isEqualTo(60_000);
    }

    @Example
    void endOfTargetNoticedLateByTheNodeThatSentTheRequestCountsOnce() {
        PoisonRequestTable table = PoisonRequestTable.empty();
        for (int end = 0; end < 2; end++) {
            table.recordTargetEnd(POISON, "node-1", end * 4_000L);
            table.recordLoss(POISON, "node-1", end * 4_000L + 1_500);
            table.merge(lost(new TargetLoss("node-1", 1_000, true)), end * 4_000L + 1_000);
        }

        assertThat(table.remainingRefusalMillis(POISON, 6_000).isPresent()).isFalse();
        assertThat(table.report(POISON, 6_000))
                .hasValue(
                        lost(
                                new TargetLoss("node-1", 6_000, true),
                                new TargetLoss("node-1", 2_000, true)));
    }

    @Example
    void answerAtAnotherNodeClearsEarlierLossesOnly() {
        PoisonRequestTable table = PoisonRequestTable.empty();
        table.recordLoss(POISON, "node-1", 0);
        table.recordLoss(POISON, "node-2", 1_000);
        table.merge(new SuspectReport.Answered(POISON, 100), 600);
        assertThat(table.remainingRefusalMillis(POISON, 1_100).isPresent()).isFalse();
        assertThat(table.isSuspect(POISON)).isTrue();
        table.merge(new SuspectReport.Answered(POISON, 0), 1_200);

        assertThat(table.isEmpty()).isTrue();
    }

    @Example
    void lossThatTheTargetsNodeReportedFirstIsNoEarlierLoss() {
        PoisonRequestTable table = PoisonRequestTable.empty();
        table.recordTargetEnd(POISON, "node-1", 1_000);
        assertThat(table.hasEarlierLoss(POISON, "node-1", 1_005)).isFalse();
        assertThat(table.hasEarlierLoss(POISON, "node-2", 1_005)).isTrue();
        assertThat(table.hasEarlierLoss(POISON, "node-1", 5_000)).isTrue();
        assertThat(table.hasEarlierLoss("other", "node-1", 5_000)).isFalse();
    }

    private static SuspectReport lost(TargetLoss... losses) {
        return new SuspectReport.Lost(POISON, List.of(losses));
    }
}
