package org.cuminreach.decisions.agreement;

/**
 * Timing and sizes of the replicated log.
 *
 * @param heartbeatMillis time between two heartbeats of a leader, in milliseconds
 * @param electionTimeoutMillis silence of the leader after which a replica may campaign, and after
 *     which a leader without a quorum steps down, in milliseconds
 * @param largestBatchBytes most bytes of commands in one append message
 */
public record AgreementSettings(
        long heartbeatMillis, long electionTimeoutMillis, int largestBatchBytes) {
    private static final long HEARTBEAT_MILLIS = 150;
    private static final long ELECTION_TIMEOUT_MILLIS = 1_000;
    private static final int LARGEST_BATCH_BYTES = 1024 * 1024;

    /**
     * Returns the settings for controls in several regions.
     *
     * @return the standard settings
     */
    public static AgreementSettings standard() {
        return new AgreementSettings(
                HEARTBEAT_MILLIS, ELECTION_TIMEOUT_MILLIS, LARGEST_BATCH_BYTES);
    }
}
