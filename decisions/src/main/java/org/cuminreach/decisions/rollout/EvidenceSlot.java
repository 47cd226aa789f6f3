package org.cuminreach.decisions.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Evidence of one service over one span of time. */
final class EvidenceSlot {
    private static final int MOST_CELLS = 512;
    private static final double OVERLOAD_REFUSALS = 0.05;

    private final Map<EvidenceKey, CallCounter> cells = new HashMap<>();
    private final Set<EvidenceKey> guarded = new HashSet<>();
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

    boolean isGuarded(String version) {
        return guarded.stream().anyMatch(key -> key.version().equals(version));
    }

    /** Tells whether the service shed load. */
    boolean isOverloaded() {
        long refusals = 0;
        long attempts = 0;
        for (CallCounter counter : cells.values()) {
            refusals += counter.refusals();
            attempts += counter.reached() + counter.refusals();
        }
        return attempts > 0 && refusals >= OVERLOAD_REFUSALS * attempts;
    }

    /** Adds evidence; a slot that is full takes no new keys. */
    void add(Evidence evidence) {
        EvidenceKey key = evidence.key();
        if (cells.size() >= MOST_CELLS && !cells.containsKey(key)) {
            return;
        }
        cells.computeIfAbsent(key, absent -> CallCounter.zero()).add(evidence.counts());
        if (evidence.guarded()) {
            guarded.add(key);
        }
    }

    /** Takes in the slot that follows this one. */
    void absorb(EvidenceSlot next) {
        endMillis = next.endMillis;
        next.cells.forEach(
                (key, counter) -> {
                    if (cells.size() < MOST_CELLS || cells.containsKey(key)) {
                        cells.computeIfAbsent(key, absent -> CallCounter.zero()).add(counter);
                    }
                });
        guarded.addAll(next.guarded);
    }
}
