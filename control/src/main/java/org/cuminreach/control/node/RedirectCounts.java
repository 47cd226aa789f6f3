package org.cuminreach.control.node;

import java.util.Map;
import java.util.TreeMap;

/** Number of redirected nodes, by reason. Safe for use by several threads. */
final class RedirectCounts {
    private final Map<String, Long> counts = new TreeMap<>();

    synchronized void count(String reason) {
        counts.merge(reason, 1L, Long::sum);
    }

    synchronized Map<String, Long> byReason() {
        return new TreeMap<>(counts);
    }
}
