package org.cuminreach.decisions.poison;

import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminreach.decisions.routing.BoundedMaps;

/**
 * Requests whose targets were lost while running them, by fingerprint. A request that lost {@value
 * #CRASHES_BEFORE_REFUSAL} targets, and was answered by none in between, is refused for a while;
 * after that one more loss refuses it again. An answer clears it, so that what merely ran beside a
 * poisonous request stays innocent. Not safe for use by several threads at once.
 */
public final class PoisonTable {
    /** Targets that a request may lose before it is refused. */
    public static final int CRASHES_BEFORE_REFUSAL = 2;

    private static final long REFUSED_MILLIS = 60_000;
    private static final long REMEMBERED_MILLIS = 600_000;
    private static final int MOST_FINGERPRINTS = 1_000;

    /** What is known of one request. */
    private static final class Suspect {
        private final Set<String> lostTargets = new HashSet<>();
        private long lastLossMillis;
    }

    private final Map<String, Suspect> suspects = BoundedMaps.withMaxSize(MOST_FINGERPRINTS);

    private PoisonTable() {}

    /**
     * Returns a table without suspects.
     *
     * @return an empty table
     */
    public static PoisonTable empty() {
        return new PoisonTable();
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
    public void lost(String fingerprint, String node, long nowMillis) {
        forgetOld(nowMillis);
        Suspect suspect = suspects.remove(fingerprint);
        if (suspect == null) {
            suspect = new Suspect();
        }
        if (suspect.lostTargets.size() < CRASHES_BEFORE_REFUSAL) {
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
    public void answered(String fingerprint) {
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
    public OptionalLong refusedForMillis(String fingerprint, long nowMillis) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || suspect.lostTargets.size() < CRASHES_BEFORE_REFUSAL) {
            return OptionalLong.empty();
        }
        long left = suspect.lastLossMillis + REFUSED_MILLIS - nowMillis;
        return left > 0 ? OptionalLong.of(left) : OptionalLong.empty();
    }

    private void forgetOld(long nowMillis) {
        suspects.values()
                .removeIf(suspect -> nowMillis - suspect.lastLossMillis > REMEMBERED_MILLIS);
    }
}
