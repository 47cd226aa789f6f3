package org.cuminreach.decisions.distribution;

/** Next update that a session sends to its node. */
public sealed interface SyncStep {
    /** No update: everything has been sent. */
    record Nothing() implements SyncStep {}

    /**
     * Changes of targets.
     *
     * @param sinceRevision registry revision that was sent before
     * @param toRevision registry revision after this update
     */
    record SendTargets(long sinceRevision, long toRevision) implements SyncStep {}

    /**
     * A change of the configuration.
     *
     * @param baseVersion version that was sent before
     * @param toVersion version after this update
     */
    record SendConfiguration(long baseVersion, long toVersion) implements SyncStep {}
}
