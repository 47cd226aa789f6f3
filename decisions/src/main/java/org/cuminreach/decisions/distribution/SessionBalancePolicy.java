package org.cuminreach.decisions.distribution;

import java.util.Collection;

/** Decides how many nodes a control hands to others that have fewer. */
public final class SessionBalancePolicy {
    private static final int TOLERATED_PERCENT = 20;
    private static final int TOLERATED_SESSIONS = 8;
    private static final int PERCENT = 100;

    /** Share of a control's fair part up to which nodes of its own data centre come to it. */
    private static final int MAX_FAIR_SHARE_PERCENT = 200;

    private SessionBalancePolicy() {}

    /**
     * Decides how many sessions are to move.
     *
     * @param own sessions of this control
     * @param others sessions of each other control that can be reached now
     * @param most most sessions that may move at once
     * @return how many nodes to send on; 0 when the spread is even enough
     */
    public static int sessionsToMove(int own, Collection<Integer> others, int most) {
        if (others.isEmpty()) {
            return 0;
        }
        int total = own + others.stream().mapToInt(Integer::intValue).sum();
        int share = Math.ceilDiv(total, others.size() + 1);
        int tolerated = Math.max(TOLERATED_SESSIONS, share * TOLERATED_PERCENT / PERCENT);
        int excess = own - share;
        return excess > tolerated ? Math.min(excess, most) : 0;
    }

    /**
     * Tells whether a control has so many sessions that nodes of its own data centre are better off
     * with one that is farther away.
     *
     * @param sessions sessions of the control
     * @param total sessions of all controls
     * @param controls number of controls, itself included
     * @return whether it has far more than its fair part
     */
    public static boolean hasTooManySessions(int sessions, int total, int controls) {
        int share = Math.ceilDiv(total, controls);
        return sessions > share * MAX_FAIR_SHARE_PERCENT / PERCENT + TOLERATED_SESSIONS;
    }
}
