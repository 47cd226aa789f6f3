package org.cuminreach.decisions.agreement;

/**
 * Timing and size limits of the Raft protocol.
 *
 * @param heartbeatMillis interval between heartbeats of a leader, in milliseconds
 * @param electionTimeoutMillis time without contact to the leader after which a follower may start
 *     an election, and time without contact to a quorum after which a leader steps down, in
 *     milliseconds
 * @param maxBatchBytes maximum size of the commands in one append message, in bytes
 */
public record RaftSettings(long heartbeatMillis, long electionTimeoutMillis, int maxBatchBytes) {
    private static final long HEARTBEAT_MILLIS = 150;
    private static final long ELECTION_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_BATCH_BYTES = 1024 * 1024;

    /**
     * Returns the default settings, for controls in several regions.
     *
     * @return the default settings
     */
    public static RaftSettings defaults() {
        return new RaftSettings(HEARTBEAT_MILLIS, ELECTION_TIMEOUT_MILLIS, MAX_BATCH_BYTES);
    }

    /**
     * Returns the time in which a replica that gave up the lead does not campaign: as long as
     * another one needs at most to notice that there is no leader.
     *
     * @return the time, in milliseconds
     */
    public long resignationPauseMillis() {
        return 2 * electionTimeoutMillis;
    }
}
