package org.cuminreach.decisions.poison;

import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminreach.decisions.routing.BoundedMaps;

/**
 * Requests whose targets were lost while running them, by fingerprint. A request that lost {@value
 * #LOSSES_BEFORE_REFUSAL} targets, and was answered by none in between, is refused for a while;
 * after that one more loss refuses it again. An answer clears it, so that what merely ran beside a
 * poisonous request stays innocent. Not safe for use by several threads at once.
 */
public final class PoisonRequestTable {
    /** Targets that a request may lose before it is refused. */
    public static final int LOSSES_BEFORE_REFUSAL = 2;

    private static final long REFUSAL_MILLIS = 60_000;
    private static final long RETENTION_MILLIS = 600_000;
    private static final int MAX_FINGERPRINTS = 1_000;

    /** What is known of one request. */
    private static final class Suspect {
        private final Set<String> lostTargets = new HashSet<>();
        private long lastLossMillis;
    }

    private final Map<String, Suspect> suspects = BoundedMaps.ofMost(MAX_FINGERPRINTS);

    private PoisonRequestTable() {}

    /**
     * Returns a table without suspects.
     *
     * @return an empty table
     */
    public static PoisonRequestTable empty() {
        return new PoisonRequestTable();
    }

    /**
     * Tells whether no request is suspected.
     *
     * @return true when nothing needs to be looked up
     */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /**
     * Notes that a target's connection was lost while it ran a request.
     *
     * @param fingerprint the request
     * @param node the node beside the target
     * @param nowMillis present time
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
     * Notes that a target answered a request.
     *
     * @param fingerprint the request
     */
    public void recordAnswer(String fingerprint) {
        suspects.remove(fingerprint);
    }

    /**
     * Tells whether a request has lost a target and was not answered since.
     *
     * @param fingerprint the request
     * @return true when its losses tell nothing of the version that it met
     */
    public boolean isSuspect(String fingerprint) {
        return suspects.containsKey(fingerprint);
    }

    /**
     * Tells whether a request is refused.
     *
     * @param fingerprint the request
     * @param nowMillis present time
     * @return for how long, in milliseconds, or empty when it may run
     */
    public OptionalLong remainingRefusalMillis(String fingerprint, long nowMillis) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || suspect.lostTargets.size() < LOSSES_BEFORE_REFUSAL) {
            return OptionalLong.empty();
        }
        long left = suspect.lastLossMillis + REFUSAL_MILLIS - nowMillis;
        return left > 0 ? OptionalLong.of(left) : OptionalLong.empty();
    }

    private void removeExpired(long nowMillis) {
        suspects.values()
                .removeIf(suspect -> nowMillis - suspect.lastLossMillis > RETENTION_MILLIS);
    }
}
