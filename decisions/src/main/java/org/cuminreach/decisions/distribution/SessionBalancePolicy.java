package org.cuminreach.decisions.distribution;

import java.util.Collection;

/** Decides how many sessions a control hands over to controls with fewer sessions. */
public final class SessionBalancePolicy {
    private static final int TOLERATED_PERCENT = 20;
    private static final int TOLERATED_SESSIONS = 8;
    private static final int PERCENT = 100;

    /** Percentage of its fair share up to which a control takes nodes of its data centre. */
    private static final int MAX_FAIR_SHARE_PERCENT = 200;

    private SessionBalancePolicy() {}

    /**
     * Decides how many sessions should move to other controls.
     *
     * @param own sessions of this control
     * @param others sessions of each other control that is reachable now
     * @param max maximum number of sessions that may move at once
     * @return the number of sessions to move; 0 when they are balanced well enough
     */
    public static int sessionsToMove(int own, Collection<Integer> others, int max) {
        if (others.isEmpty()) {
            return 0;
        }
        int total = own + others.stream().mapToInt(Integer::intValue).sum();
        int share = Math.ceilDiv(total, others.size() + 1);
        int tolerated = Math.max(TOLERATED_SESSIONS, share * TOLERATED_PERCENT / PERCENT);
        int excess = own - share;
        return excess > tolerated ? Math.min(excess, max) : 0;
    }

    /**
     * Tells whether a control has so many sessions that nodes of its data centre should use a
     * remote control instead.
     *
     * @param sessions sessions of the control
     * @param total sessions of all controls
     * @param controls number of controls, including this one
     * @return whether it has far more than its fair share
     */
    public static boolean hasTooManySessions(int sessions, int total, int controls) {
        int share = Math.ceilDiv(total, controls);
        return sessions > share * MAX_FAIR_SHARE_PERCENT / PERCENT + TOLERATED_SESSIONS;
    }
}
