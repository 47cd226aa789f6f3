package org.cuminreach.decisions.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Evidence of one service over one time slot. */
final class EvidenceSlot {
    private static final int MAX_CELLS = 512;
    private static final double OVERLOAD_REFUSAL_SHARE = 0.05;

    private final Map<EvidenceKey, CallCounter> cells = new HashMap<>();
    private final Set<EvidenceKey> circuitOpenKeys = new HashSet<>();
    private final long startMillis;
    private long endMillis;

    EvidenceSlot(long startMillis, long endMillis) {
        this.startMillis = startMillis;
        this.endMillis = endMillis;
    }

    long startMillis() {
        return startMillis;
    }

    long endMillis() {
        return endMillis;
    }

    Map<EvidenceKey, CallCounter> cells() {
        return cells;
    }

    boolean isCircuitOpen(String version) {
        return circuitOpenKeys.stream().anyMatch(key -> key.version().equals(version));
    }

    /** Tells whether the service shed load during this slot. */
    boolean isOverloaded() {
        long refusals = 0;
        long attempts = 0;
        for (CallCounter counter : cells.values()) {
            refusals += counter.refusals();
            attempts += counter.reached() + counter.refusals();
        }
        return attempts > 0 && refusals >= OVERLOAD_REFUSAL_SHARE * attempts;
    }

    /** Adds evidence. A full slot ignores evidence with a new key. */
    void add(Evidence evidence) {
        EvidenceKey key = evidence.key();
        if (cells.size() >= MAX_CELLS && !cells.containsKey(key)) {
            return;
        }
        cells.computeIfAbsent(key, absent -> CallCounter.zero()).add(evidence.counts());
        if (evidence.circuitOpen()) {
            circuitOpenKeys.add(key);
        }
    }

    /** Merges the next slot into this one. */
    void merge(EvidenceSlot next) {
        endMillis = next.endMillis;
        next.cells.forEach(
                (key, counter) -> {
                    if (cells.size() < MAX_CELLS || cells.containsKey(key)) {
                        cells.computeIfAbsent(key, absent -> CallCounter.zero()).add(counter);
                    }
                });
        circuitOpenKeys.addAll(next.circuitOpenKeys);
    }
}
