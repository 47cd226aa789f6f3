package org.cuminreach.decisions.rollout;

import static com.google.common.truth.Truth.assertThat;
import static org.cuminreach.decisions.rollout.EvidenceFixture.NEW;
import static org.cuminreach.decisions.rollout.EvidenceFixture.SERVICE;
import static org.cuminreach.decisions.rollout.EvidenceFixture.calls;
import static org.cuminreach.decisions.rollout.EvidenceFixture.store;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

class EvidenceStoreTest {
    @Example
    void memoryIsBounded() {
        EvidenceStore ledger = store(0);
        for (int call = 0; call < 20_000; call++) {
            ledger.add(calls(NEW, "node-" + call, 1, 0, 4_000), call * 100L);
        }
        assertThat(ledger.slotsOf(SERVICE).size()).isAtMost(40);
        for (EvidenceSlot slot : ledger.slotsOf(SERVICE)) {
            assertThat(slot.cells().size()).isAtMost(512);
        }
    }

    @Example
    void evidenceOverTooLongSpanIsIgnored() {
        EvidenceStore ledger = store(0);
        Evidence aged =
                new Evidence(
                        calls(NEW, 1, 0, 4_000).getFirst().key(),
                        CallCounts.of(CallResult.FAILED, 4_000),
                        60_000,
                        false);
        ledger.add(List.of(aged), 100);

        assertThat(ledger.slotsOf(SERVICE)).isEmpty();
    }

    @Example
    void evidenceOfAnEarlierRolloutIsRemoved() {
        EvidenceStore ledger = store(0);
        ledger.add(calls(NEW, 5, 0, 4_000), 100);
        ledger.setNewVersions(Map.of(SERVICE, "3"));

        assertThat(ledger.slotsOf(SERVICE)).isEmpty();
    }
}
