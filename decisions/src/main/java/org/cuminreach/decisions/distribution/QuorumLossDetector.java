package org.cuminreach.decisions.distribution;

import java.util.Optional;

/**
 * Tells a control when it has been without a quorum for so long that its nodes should leave. An
 * election is shorter than that. Not safe for use by several threads at once.
 */
public final class QuorumLossDetector {
    private final long timeoutMillis;
    private Optional<Long> lostSinceMillis = Optional.empty();

    private QuorumLossDetector(long patienceMillis) {
        this.timeoutMillis = patienceMillis;
    }

    /**
     * Returns a watch that has seen no loss.
     *
     * @param patienceMillis time without a quorum after which nodes should leave, in milliseconds
     * @return the watch
     */
    public static QuorumLossDetector of(long patienceMillis) {
        return new QuorumLossDetector(patienceMillis);
    }

    /**
     * Notes whether there is a quorum now.
     *
     * @param nowMillis present time
     * @param hasQuorum whether the control is in contact with a quorum
     * @return true when the control counts as cut off
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
