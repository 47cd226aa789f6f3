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
}
