package org.cuminreach.node.caller;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.decisions.rollout.CallResult;
import org.cuminreach.decisions.rollout.EvidenceKey;

class EvidenceRecorderTest {
    private static final int VERSIONS = 1_000;

    private final EvidenceRecorder recorder = EvidenceRecorder.empty();

    private void record(String service, CallResult result, long nowMillis) {
        RolloutProgress rollout =
                new RolloutProgress(service, "new", RolloutPhase.MOVING, 500, 1, 2, "test");
        EvidenceKey key = new EvidenceKey(service, "new", "route", "node", "here");
        recorder.record(key, rollout, result, 1_000, 1, nowMillis);
    }

    @Example
    void openCircuitIsKeptWhenManyOtherVersionsFollow() {
        int calls = 0;
        while (!recorder.isCircuitOpen("bad", "new", 100) && calls < 1_000) {
            record("bad", CallResult.FAILED, 100);
            calls++;
        }
        for (int version = 0; version < VERSIONS; version++) {
            record("service-" + version, CallResult.ANSWERED, 200);
        }

        assertThat(recorder.isCircuitOpen("bad", "new", 200)).isTrue();
    }
}
