package org.cuminreach.node.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.cuminreach.decisions.idempotency.IdempotencyKey;
import org.cuminreach.decisions.routing.SplitSequence;
import org.cuminreach.document.Route;

/** Selects the services of calls of split routes. Thread-safe. */
final class SplitSelector {
    private static final int MAX_ROUTES = 4_096;
    private static final double ANY_POSITION = 0;

    private final Map<String, SplitSequence> sequences = new ConcurrentHashMap<>();

    /** Selects the service of a call; all its attempts go there, also when it has no room. */
    String select(Route route) {
        if (!route.isSplit()) {
            return route.selectService(ANY_POSITION);
        }
        if (sequences.size() >= MAX_ROUTES && !sequences.containsKey(route.name())) {
            sequences.clear();
        }
        SplitSequence sequence =
                sequences.computeIfAbsent(
                        route.name(),
                        name -> SplitSequence.startedAtRandom(ThreadLocalRandom.current()));
        synchronized (sequence) {
            return route.selectService(sequence.next());
        }
    }

    /** Selects the service of a call with an idempotency key, the same on each node. */
    static String select(Route route, IdempotencyKey key) {
        return route.selectService(SplitSequence.ofKey(key.text()));
    }
}
