package org.cuminreach.decisions.poison;

import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminreach.decisions.routing.BoundedMaps;

/**
 * Detects poison requests: requests whose targets crash while running them, by fingerprint. A
 * request that lost the connection to {@value #LOSSES_BEFORE_REFUSAL} different targets without an
 * answer in between is refused for a limited time; after that, one more loss refuses it again. An
 * answer clears the record, so that requests that merely ran on the same target at the same time as
 * a poison request are not refused. Not thread-safe.
 */
public final class PoisonRequestTable {
    /** Number of different targets lost by a request after which it is refused. */
    public static final int LOSSES_BEFORE_REFUSAL = 2;

    private static final long REFUSAL_MILLIS = 60_000;
    private static final long RETENTION_MILLIS = 600_000;
    private static final int MAX_FINGERPRINTS = 1_000;

    /** Losses of one request since its last answer. */
    private static final class Suspect {
        private final Set<String> lostTargets = new HashSet<>();
        private long lastLossMillis;
    }

    private final Map<String, Suspect> suspects = BoundedMaps.withMaxSize(MAX_FINGERPRINTS);

    private PoisonRequestTable() {}

    /**
     * Returns an empty table.
     *
     * @return a table without suspected requests
     */
    public static PoisonRequestTable empty() {
        return new PoisonRequestTable();
    }

    /**
     * Tells whether no request is suspected.
     *
     * @return true when no lookup is needed
     */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /**
     * Records that the connection to a target was lost while it ran a request.
     *
     * @param fingerprint fingerprint of the request
     * @param node name of the node next to the target
     * @param nowMillis current time
     */
    public void recordLoss(String fingerprint, String node, long nowMillis) {
        removeExpired(nowMillis);
        Suspect suspect = suspects.remove(fingerprint);
        if (suspect == null) {
            suspect = new Suspect();
        }
        if (suspect.lostTargets.size() < LOSSES_BEFORE_REFUSAL) {
            suspect.lostTargets.add(node);
        }
        suspect.lastLossMillis = nowMillis;
        suspects.put(fingerprint, suspect);
    }

    /**
     * Records that a target answered a request.
     *
     * @param fingerprint fingerprint of the request
     */
    public void recordAnswer(String fingerprint) {
        suspects.remove(fingerprint);
    }

    /**
     * Tells whether a request lost a target and has not been answered since.
     *
     * @param fingerprint fingerprint of the request
     * @return true when its losses are no evidence against the version that ran it
     */
    public boolean isSuspect(String fingerprint) {
        return suspects.containsKey(fingerprint);
    }

    /**
     * Returns for how long a request is still refused.
     *
     * @param fingerprint fingerprint of the request
     * @param nowMillis current time
     * @return the remaining time, in milliseconds, or empty when the request may run
     */
    public OptionalLong remainingRefusalMillis(String fingerprint, long nowMillis) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || suspect.lostTargets.size() < LOSSES_BEFORE_REFUSAL) {
            return OptionalLong.empty();
        }
        long remaining = suspect.lastLossMillis + REFUSAL_MILLIS - nowMillis;
        return remaining > 0 ? OptionalLong.of(remaining) : OptionalLong.empty();
    }

    private void removeExpired(long nowMillis) {
        suspects.values()
                .removeIf(suspect -> nowMillis - suspect.lastLossMillis > RETENTION_MILLIS);
    }
}
