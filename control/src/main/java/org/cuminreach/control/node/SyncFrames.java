package org.cuminreach.control.node;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminreach.decisions.configuration.ConfigurationHistory;
import org.cuminreach.decisions.distribution.SyncStep;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetRegistry;
import org.cuminreach.wire.AnnouncementCodec;
import org.cuminreach.wire.DeltaCodec;
import org.cuminreach.wire.frame.FrameCodec;
import org.cuminreach.wire.generated.Frame;

/**
 * Encoded frames that bring nodes to one state of the mesh. Each frame is encoded once, however
 * many nodes receive it.
 */
final class SyncFrames {
    private final TargetRegistry registry;
    private final ConfigurationHistory history;
    private final long revision;
    private final long version;
    private final boolean targetListComplete;
    private final Map<Long, byte[]> targets = new ConcurrentHashMap<>();
    private final Map<Long, byte[]> configurations;

    private SyncFrames(
            TargetRegistry registry,
            ConfigurationHistory history,
            long revision,
            long version,
            boolean targetListComplete,
            Map<Long, byte[]> configurations) {
        this.registry = registry;
        this.history = history;
        this.revision = revision;
        this.version = version;
        this.targetListComplete = targetListComplete;
        this.configurations = configurations;
    }

    static SyncFrames of(
            TargetRegistry registry,
            ConfigurationHistory history,
            long revision,
            long version,
            boolean targetListComplete) {
        return new SyncFrames(
                registry,
                history,
                revision,
                version,
                targetListComplete,
                new ConcurrentHashMap<>());
    }

    /**
     * Returns the frames of a later state. Those of the configuration are kept while its version
     * stays: each node that connects announces its target, and a whole configuration is long.
     */
    SyncFrames advance(long laterRevision, long laterVersion, boolean laterComplete) {
        return new SyncFrames(
                registry,
                history,
                laterRevision,
                laterVersion,
                laterComplete,
                laterVersion == version ? configurations : new ConcurrentHashMap<>());
    }

    long revision() {
        return revision;
    }

    long version() {
        return version;
    }

    boolean targetListComplete() {
        return targetListComplete;
    }

    boolean matches(long otherRevision, long otherVersion, boolean otherComplete) {
        return revision == otherRevision
                && version == otherVersion
                && targetListComplete == otherComplete;
    }

    byte[] targets(SyncStep.SendTargets step) {
        return targets.computeIfAbsent(step.sinceRevision(), this::encodeTargets);
    }

    byte[] configuration(SyncStep.SendConfiguration step) {
        return configurations.computeIfAbsent(step.baseVersion(), this::encodeConfiguration);
    }

    private byte[] encodeTargets(long sinceRevision) {
        List<Announcement> announcements = registry.changedSince(sinceRevision);
        return FrameCodec.encode(
                targetListComplete && sinceRevision < 0
                        ? AnnouncementCodec.toCompleteFrame(announcements)
                        : AnnouncementCodec.toFrame(announcements));
    }

    private byte[] encodeConfiguration(long baseVersion) {
        synchronized (history) {
            return FrameCodec.encode(
                    Frame.configurationDelta(DeltaCodec.toStruct(history.deltaSince(baseVersion))));
        }
    }
}
