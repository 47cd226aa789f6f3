package org.cuminreach.decisions.distribution;

/** What a session sends next. */
public sealed interface SyncStep {
    /** Nothing: the node has been sent everything. */
    record Nothing() implements SyncStep {}

    /**
     * Changes of targets.
     *
     * @param sinceRevision revision of the registry that the node has been sent
     * @param toRevision revision that it then has
     */
    record SendTargets(long sinceRevision, long toRevision) implements SyncStep {}

    /**
     * A change of configuration.
     *
     * @param baseVersion version that the node holds once it has read all it was sent
     * @param toVersion version that it then holds
     */
    record SendConfiguration(long baseVersion, long toVersion) implements SyncStep {}
}
