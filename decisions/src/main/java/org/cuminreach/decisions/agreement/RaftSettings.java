package org.cuminreach.decisions.agreement;

/**
 * Timing and sizes of the replicated log.
 *
 * @param heartbeatMillis time between two heartbeats of a leader, in milliseconds
 * @param electionTimeoutMillis silence of the leader after which a replica may campaign, and after
 *     which a leader without a quorum steps down, in milliseconds
 * @param maxBatchBytes most bytes of commands in one append message
 */
public record RaftSettings(long heartbeatMillis, long electionTimeoutMillis, int maxBatchBytes) {
    private static final long HEARTBEAT_MILLIS = 150;
    private static final long ELECTION_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_BATCH_BYTES = 1024 * 1024;

    /**
     * Returns the settings for controls in several regions.
     *
     * @return the standard settings
     */
    public static RaftSettings standard() {
        return new RaftSettings(HEARTBEAT_MILLIS, ELECTION_TIMEOUT_MILLIS, MAX_BATCH_BYTES);
    }
}
