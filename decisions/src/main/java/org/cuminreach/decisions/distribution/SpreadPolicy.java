package org.cuminreach.decisions.distribution;

import java.util.Collection;

/** Decides how many nodes a control hands to others that have fewer. */
public final class SpreadPolicy {
    private static final int TOLERATED_PERCENT = 20;
    private static final int TOLERATED_SESSIONS = 8;
    private static final int PERCENT = 100;

    private SpreadPolicy() {}

    /**
     * Decides how many sessions are to move.
     *
     * @param own sessions of this control
     * @param others sessions of each other control that can be reached now
     * @param most most sessions that may move at once
     * @return how many nodes to send on; 0 when the spread is even enough
     */
    public static int toMove(int own, Collection<Integer> others, int most) {
        if (others.isEmpty()) {
            return 0;
        }
        int total = own + others.stream().mapToInt(Integer::intValue).sum();
        int share = Math.ceilDiv(total, others.size() + 1);
        int tolerated = Math.max(TOLERATED_SESSIONS, share * TOLERATED_PERCENT / PERCENT);
        int excess = own - share;
        return excess > tolerated ? Math.min(excess, most) : 0;
    }
}
