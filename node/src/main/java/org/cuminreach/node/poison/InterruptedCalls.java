package org.cuminreach.node.poison;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Calls that a target began to run and did not answer a short time ago, by fingerprint. If it turns
 * out that the target has ended, any of them may have caused it. Not thread-safe.
 */
final class InterruptedCalls {
    /** Time for which a target may go on with a cancelled call, in milliseconds. */
    private static final long RETENTION_MILLIS = 1_000;

    private static final int MAX_CALLS = 1_000;

    private record Interrupted(String fingerprint, long atMillis) {}

    private final Deque<Interrupted> calls = new ArrayDeque<>();

    void add(String fingerprint, long nowMillis) {
        removeExpired(nowMillis);
        if (calls.size() == MAX_CALLS) {
            calls.removeFirst();
        }
        calls.addLast(new Interrupted(fingerprint, nowMillis));
    }

    boolean isEmpty(long nowMillis) {
        removeExpired(nowMillis);
        return calls.isEmpty();
    }

    /** Removes all calls; returns for each fingerprint when its last call was interrupted. */
    Map<String, Long> takeAll(long nowMillis) {
        removeExpired(nowMillis);
        Map<String, Long> interruptedMillis = new LinkedHashMap<>();
        calls.forEach(call -> interruptedMillis.put(call.fingerprint(), call.atMillis()));
        calls.clear();
        return interruptedMillis;
    }

    private void removeExpired(long nowMillis) {
        while (!calls.isEmpty() && nowMillis - calls.getFirst().atMillis() > RETENTION_MILLIS) {
            calls.removeFirst();
        }
    }
}
