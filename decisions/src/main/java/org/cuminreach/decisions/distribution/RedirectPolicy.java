package org.cuminreach.decisions.distribution;

import java.util.OptionalLong;

/**
 * Decides whether a node may be redirected to a control in its own data centre. It may not soon
 * after it has lost a control, since the other controls may still consider that one present and
 * would redirect the node back to it. Thread-safe.
 */
public final class RedirectPolicy {
    /** Longer than the time for which controls consider an unresponsive control present. */
    private static final long HOLD_OFF_MILLIS = 14_000;

    private OptionalLong lostMillis = OptionalLong.empty();

    private RedirectPolicy() {}

    /**
     * Returns the policy of a node that has lost no control yet.
     *
     * @return the policy
     */
    public static RedirectPolicy create() {
        return new RedirectPolicy();
    }

    /**
     * Records that a control was lost or could not be reached.
     *
     * @param nowMillis current time
     */
    public synchronized void recordLoss(long nowMillis) {
        lostMillis = OptionalLong.of(nowMillis);
    }

    /**
     * Tells whether the node may be redirected now.
     *
     * @param nowMillis current time
     * @return false for some time after a loss
     */
    public synchronized boolean mayRedirect(long nowMillis) {
        return lostMillis.isEmpty() || nowMillis - lostMillis.getAsLong() >= HOLD_OFF_MILLIS;
    }
}
