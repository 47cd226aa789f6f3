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
        EvidenceStore store = store(0);
        for (int call = 0; call < 20_000; call++) {
            store.add(calls(NEW, "node-" + call, 1, 0, 4_000), call * 100L);
        }
        assertThat(store.slotsOf(SERVICE).size()).isAtMost(40);
        for (EvidenceSlot slot : store.slotsOf(SERVICE)) {
            assertThat(slot.cells().size()).isAtMost(512);
        }
    }

    @Example
    void evidenceOverTooLongSpanIsIgnored() {
        EvidenceStore store = store(0);
        Evidence oldEvidence =
                new Evidence(
                        calls(NEW, 1, 0, 4_000).getFirst().key(),
                        CallCounts.of(CallResult.FAILED, 4_000),
                        60_000,
                        false);
        store.add(List.of(oldEvidence), 100);

        assertThat(store.slotsOf(SERVICE)).isEmpty();
    }

    @Example
    void evidenceOfAnEarlierRolloutIsRemoved() {
        EvidenceStore store = store(0);
        store.add(calls(NEW, 5, 0, 4_000), 100);
        store.setNewVersions(Map.of(SERVICE, "3"));

        assertThat(store.slotsOf(SERVICE)).isEmpty();
    }
}
