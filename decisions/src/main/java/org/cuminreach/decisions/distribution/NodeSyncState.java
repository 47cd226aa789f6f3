package org.cuminreach.decisions.distribution;

/**
 * What one node has been sent, and what it is sent next. It remembers positions only, so a node
 * that reads slowly costs the same as one that reads fast, and later gets one difference. Targets
 * go before the configuration, so that no route arrives before the targets known at that time. Not
 * safe for use by several threads at once.
 */
public final class NodeSyncState {
    private static final long NOTHING_SENT = -1;

    private long sentRevision = NOTHING_SENT;
    private long sentVersion;

    private NodeSyncState(long heldVersion) {
        this.sentVersion = heldVersion;
    }

    /**
     * Returns the feed of a node that has just been welcomed.
     *
     * @param heldVersion configuration version that it holds
     * @return the feed
     */
    public static NodeSyncState of(long heldVersion) {
        return new NodeSyncState(heldVersion);
    }

    /**
     * Decides what to send next.
     *
     * @param revision present revision of the registry
     * @param version present configuration version
     * @return the step
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
     * Notes that a step was taken.
     *
     * @param step the step
     */
    public void recordSent(SyncStep step) {
        switch (step) {
            case SyncStep.Nothing nothing -> {}
            case SyncStep.SendTargets targets -> sentRevision = targets.toRevision();
            case SyncStep.SendConfiguration configuration ->
                    sentVersion = configuration.toVersion();
        }
    }

    /** Notes that the node is to be sent all targets again. */
    public void resetTargets() {
        sentRevision = NOTHING_SENT;
    }

    /** Notes that the node asked for the whole configuration. */
    public void resetConfiguration() {
        sentVersion = 0;
    }
}
