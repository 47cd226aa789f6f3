package org.cuminreach.decisions.distribution;

/**
 * Tracks what has been sent to one node and decides what is sent next. It keeps only a revision and
 * a version, so that a slow reader costs no more memory than a fast one and later receives one
 * combined update. Targets are sent before the configuration, so that no route arrives before the
 * targets known at that time. Not thread-safe.
 */
public final class NodeSyncState {
    private static final long NOTHING_SENT = -1;

    private long sentRevision = NOTHING_SENT;
    private long sentVersion;

    private NodeSyncState(long heldVersion) {
        this.sentVersion = heldVersion;
    }

    /**
     * Returns the state of a node that has just been admitted.
     *
     * @param heldVersion configuration version that the node holds
     * @return the state
     */
    public static NodeSyncState of(long heldVersion) {
        return new NodeSyncState(heldVersion);
    }

    /**
     * Decides what to send next.
     *
     * @param revision current revision of the registry
     * @param version current configuration version
     * @return the next update
     */
    public SyncStep next(long revision, long version) {
        if (sentRevision < revision) {
            return new SyncStep.SendTargets(sentRevision, revision);
        }
        if (sentVersion < version) {
            return new SyncStep.SendConfiguration(sentVersion, version);
        }
        return new SyncStep.Nothing();
    }

    /**
     * Records that an update was sent.
     *
     * @param step the update
     */
    public void recordSent(SyncStep step) {
        switch (step) {
            case SyncStep.Nothing nothing -> {}
            case SyncStep.SendTargets targets -> sentRevision = targets.toRevision();
            case SyncStep.SendConfiguration configuration ->
                    sentVersion = configuration.toVersion();
        }
    }

    /** Makes all targets be sent again. */
    public void resetTargets() {
        sentRevision = NOTHING_SENT;
    }

    /** Makes the full configuration be sent again, as the node has requested. */
    public void resetConfiguration() {
        sentVersion = 0;
    }
}
