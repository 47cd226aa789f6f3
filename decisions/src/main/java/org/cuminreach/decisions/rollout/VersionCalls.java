package org.cuminreach.decisions.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Numbers of calls that reached a service during a rollout, by version and route. */
final class VersionCalls {
    private static final long MIN_SPAN_MILLIS = 1_000;

    private final Map<String, Long> oldByRoute = new HashMap<>();
    private long newVersionCalls;
    private long oldVersionCalls;
    private long startMillis = Long.MAX_VALUE;

    private VersionCalls() {}

    static VersionCalls of(List<EvidenceSlot> slots, String newVersion) {
        VersionCalls calls = new VersionCalls();
        for (EvidenceSlot slot : slots) {
            calls.startMillis = Math.min(calls.startMillis, slot.startMillis());
            slot.cells().forEach((key, counter) -> calls.add(key, counter, newVersion));
        }
        return calls;
    }

    private void add(EvidenceKey key, CallCounter counter, String newVersion) {
        if (key.version().equals(newVersion)) {
            newVersionCalls += counter.reached();
        } else {
            oldVersionCalls += counter.reached();
            oldByRoute.merge(key.route(), counter.reached(), Long::sum);
        }
    }

    long newVersionCalls() {
        return newVersionCalls;
    }

    /** Returns the number of calls to both versions per millisecond. */
    double callsPerMilli(long nowMillis) {
        long calls = newVersionCalls + oldVersionCalls;
        return calls == 0 ? 0 : (double) calls / Math.max(MIN_SPAN_MILLIS, nowMillis - startMillis);
    }

    /** Returns the routes that carry at least a share of the calls to the old version. */
    List<String> oldRoutes(double minShare) {
        return oldByRoute.entrySet().stream()
                .filter(route -> route.getValue() >= minShare * oldVersionCalls)
                .map(Map.Entry::getKey)
                .toList();
    }
}
