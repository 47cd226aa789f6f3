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
 * The encoded frames that lead nodes to one state of the mesh. Each is encoded once, whatever the
 * number of nodes that get it.
 */
final class FeedFrames {
    private final TargetRegistry registry;
    private final ConfigurationHistory history;
    private final long revision;
    private final long version;
    private final boolean settled;
    private final Map<Long, byte[]> targets = new ConcurrentHashMap<>();
    private final Map<Long, byte[]> configurations = new ConcurrentHashMap<>();

    private FeedFrames(
            TargetRegistry registry,
            ConfigurationHistory history,
            long revision,
            long version,
            boolean settled) {
        this.registry = registry;
        this.history = history;
        this.revision = revision;
        this.version = version;
        this.settled = settled;
    }

    static FeedFrames of(
            TargetRegistry registry,
            ConfigurationHistory history,
            long revision,
            long version,
            boolean settled) {
        return new FeedFrames(registry, history, revision, version, settled);
    }

    long revision() {
        return revision;
    }

    long version() {
        return version;
    }

    boolean settled() {
        return settled;
    }

    boolean leadsTo(long otherRevision, long otherVersion, boolean otherSettled) {
        return revision == otherRevision && version == otherVersion && settled == otherSettled;
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
                settled && sinceRevision < 0
                        ? AnnouncementCodec.toCompleteFrame(announcements)
                        : AnnouncementCodec.toFrame(announcements));
    }

    private byte[] encodeConfiguration(long baseVersion) {
        synchronized (history) {
            return FrameCodec.encode(
                    Frame.configurationDelta(DeltaCodec.toStruct(history.since(baseVersion))));
        }
    }
}
