package org.cuminreach.decisions.membership;

import java.util.OptionalLong;

/**
 * What is known of the time for which the target next to a node stays cold. The target itself is
 * believed; until it has told, and after each event with which it may have become cold unnoticed,
 * it is presumed cold. Not thread-safe.
 */
public final class TargetWarmth {
    /** Bound of every cold time, in milliseconds. */
    public static final long MAX_COLD_MILLIS = 600_000;

    private String start = "";
    private boolean told;
    private long coldUntilMillis;
    private long presumedSinceMillis;

    private TargetWarmth(long nowMillis) {
        coldUntilMillis = nowMillis;
        presumedSinceMillis = nowMillis;
    }

    /**
     * Returns the knowledge of a node that has just started.
     *
     * @param nowMillis current time
     * @return no knowledge of any target
     */
    public static TargetWarmth unknown(long nowMillis) {
        return new TargetWarmth(nowMillis);
    }

    /**
     * Records what a target says of itself.
     *
     * @param targetStart identity of the target's start
     * @param remainingMillis time for which it stays cold; empty when it does not say
     * @param nowMillis current time
     */
    public void record(String targetStart, OptionalLong remainingMillis, long nowMillis) {
        if (!targetStart.equals(start)) {
            start = targetStart;
            coldUntilMillis = nowMillis;
            presumeCold(nowMillis);
        }
        if (remainingMillis.isPresent()) {
            told = true;
            coldUntilMillis = nowMillis + bounded(remainingMillis.getAsLong());
        }
    }

    /**
     * Records what the sender of a call knows, which counts until the target itself has told.
     *
     * @param remainingMillis time for which it stays cold
     * @param nowMillis current time
     */
    public void recordHearsay(long remainingMillis, long nowMillis) {
        if (!told) {
            coldUntilMillis = Math.max(coldUntilMillis, nowMillis + bounded(remainingMillis));
        }
    }

    /**
     * Presumes that the target has become cold, until it tells otherwise.
     *
     * @param nowMillis current time
     */
    public void presumeCold(long nowMillis) {
        told = false;
        presumedSinceMillis = nowMillis;
    }

    /**
     * Returns the time for which the target stays cold.
     *
     * @param usualMillis time for which targets of its service are cold after a start
     * @param nowMillis current time
     * @return the time in milliseconds, 0 when it is warm
     */
    public long coldMillis(long usualMillis, long nowMillis) {
        long known = Math.max(0, coldUntilMillis - nowMillis);
        return told
                ? known
                : Math.max(known, presumedSinceMillis + bounded(usualMillis) - nowMillis);
    }

    /**
     * Tells whether the target is only presumed to be cold.
     *
     * @return whether it has not told since its start or since the latest presumption
     */
    public boolean isPresumed() {
        return !told;
    }

    private static long bounded(long millis) {
        return Math.clamp(millis, 0, MAX_COLD_MILLIS);
    }
}
