package org.cuminreach.decisions.distribution;

import java.util.Optional;

/**
 * Detects that a control has been without a quorum for so long that its nodes should connect to
 * another one. The timeout is longer than a leader election. Not thread-safe.
 */
public final class QuorumLossDetector {
    private final long timeoutMillis;
    private Optional<Long> lostSinceMillis = Optional.empty();

    private QuorumLossDetector(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Returns a detector of a control that has a quorum.
     *
     * @param timeoutMillis time without a quorum after which nodes should leave, in milliseconds
     * @return the detector
     */
    public static QuorumLossDetector of(long timeoutMillis) {
        return new QuorumLossDetector(timeoutMillis);
    }

    /**
     * Records whether there is a quorum now, and tells whether the quorum counts as lost.
     *
     * @param nowMillis current time
     * @param hasQuorum whether the control is in contact with a quorum
     * @return true when there has been no quorum for the timeout
     */
    public boolean isQuorumLost(long nowMillis, boolean hasQuorum) {
        if (hasQuorum) {
            lostSinceMillis = Optional.empty();
            return false;
        }
        lostSinceMillis = Optional.of(lostSinceMillis.orElse(nowMillis));
        return nowMillis - lostSinceMillis.get() >= timeoutMillis;
    }
}
