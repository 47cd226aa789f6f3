package org.cuminreach.decisions.rollout;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.document.Rollout;
import org.cuminreach.document.RolloutCriteria;
import org.cuminreach.document.RolloutPriority;

/** Test fixture: evidence on one service and its rollouts. */
final class EvidenceFixture {
    static final String SERVICE = "arkiv";
    static final String OLD = "1";
    static final String NEW = "2";

    private EvidenceFixture() {}

    static EvidenceStore store(long openedMillis) {
        EvidenceStore store = EvidenceStore.empty(openedMillis);
        store.setNewVersions(Map.of(SERVICE, NEW));
        return store;
    }

    static Rollout wanted(RolloutPriority priority, long doneByMillis) {
        return new Rollout(
                NEW,
                1_000,
                Instant.ofEpochMilli(doneByMillis),
                RolloutCriteria.defaultsFor(priority));
    }

    static RolloutProgress progress(RolloutPhase phase, int share, long steppedMillis) {
        return new RolloutProgress(SERVICE, NEW, phase, share, 0, steppedMillis, "");
    }

    static List<Evidence> calls(String version, int answered, int failed, long micros) {
        return calls(version, "node-" + version, answered, failed, micros);
    }

    static List<Evidence> calls(
            String version, String target, int answered, int failed, long micros) {
        return calls("catalogue", version, target, answered, failed, micros);
    }

    static List<Evidence> calls(
            String route, String version, String target, int answered, int failed, long micros) {
        List<Evidence> evidence = new ArrayList<>();
        CallCounter counter = CallCounter.zero();
        for (int call = 0; call < answered; call++) {
            counter.record(CallResult.ANSWERED, micros);
        }
        for (int call = 0; call < failed; call++) {
            counter.record(CallResult.FAILED, micros);
        }
        EvidenceKey key = new EvidenceKey(SERVICE, version, route, target, "nidaros");
        evidence.add(new Evidence(key, counter.counts(), 500, false));
        return evidence;
    }
}
