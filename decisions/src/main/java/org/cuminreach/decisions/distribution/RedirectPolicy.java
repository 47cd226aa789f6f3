package org.cuminreach.decisions.distribution;

import java.util.OptionalLong;

/**
 * Tells whether a node lets itself be sent to a nearer control. Soon after it has lost one it does
 * not: the other controls may still count that one as present and would send the node back to it.
 * Safe for use by several threads.
 */
public final class RedirectPolicy {
    /** Time for which controls count a silent one as present, and some more, in milliseconds. */
    private static final long HOLD_OFF_MILLIS = 14_000;

    private OptionalLong lostMillis = OptionalLong.empty();

    private RedirectPolicy() {}

    /**
     * Returns the consent of a node that has lost no control yet.
     *
     * @return the consent
     */
    public static RedirectPolicy create() {
        return new RedirectPolicy();
    }

    /**
     * Notes that a control was lost or could not be reached.
     *
     * @param nowMillis present time
     */
    public synchronized void recordLoss(long nowMillis) {
        lostMillis = OptionalLong.of(nowMillis);
    }

    /**
     * Tells whether the node may be sent to a nearer control.
     *
     * @param nowMillis present time
     * @return false for a while after a loss
     */
    public synchronized boolean mayMove(long nowMillis) {
        return lostMillis.isEmpty() || nowMillis - lostMillis.getAsLong() >= HOLD_OFF_MILLIS;
    }
}
