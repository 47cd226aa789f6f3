package org.cuminreach.decisions.poison;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

class SuspectChangesTest {
    private static final int REQUESTS = 1_200;
    private static final int MAX_REPORTS = 500;
    private static final long NOW_MILLIS = 10_000;
    private final SuspectRegistry registry = SuspectRegistry.empty();

    private void lose(String request, int targets) {
        List<TargetLoss> losses = new ArrayList<>();
        for (int target = 0; target < targets; target++) {
            losses.add(new TargetLoss("node-" + target, 0, false));
        }
        registry.merge(new SuspectReport.Lost(request, losses), NOW_MILLIS);
    }

    @Example
    void nodeThatTakesFewReportsAtOnceGetsTheLatestRequestToo() {
        for (int request = 0; request < REQUESTS; request++) {
            lose("request-" + request, 2);
        }
        List<String> received = new ArrayList<>();
        long held = 0;
        int batches = 0;
        while (held < registry.revision()) {
            SuspectChanges batch = registry.changesForNodes(held, MAX_REPORTS, NOW_MILLIS);
            assertThat(batch.reports().size()).isAtMost(MAX_REPORTS);
            batch.reports().forEach(report -> received.add(report.fingerprint()));
            held = batch.revision();
            batches++;
        }

        assertThat(received).hasSize(REQUESTS);
        assertThat(received).contains("request-" + (REQUESTS - 1));
        assertThat(batches).isEqualTo(3);
    }

    @Example
    void controlIsNotSentAgainWhatItHas() {
        lose("first", 1);
        long held = registry.changesForControls(0, MAX_REPORTS, NOW_MILLIS).revision();
        lose("second", 1);

        assertThat(registry.changesForControls(held, MAX_REPORTS, NOW_MILLIS).reports())
                .containsExactly(
                        new SuspectReport.Lost(
                                "second", List.of(new TargetLoss("node-0", 0, false))));
    }

    @Example
    void requestThatIsNotSharedIsPassedOver() {
        lose("lost once", 1);

        SuspectChanges changes = registry.changesForNodes(0, MAX_REPORTS, NOW_MILLIS);
        assertThat(changes.reports()).isEmpty();
        assertThat(changes.revision()).isEqualTo(registry.revision());
    }
}
