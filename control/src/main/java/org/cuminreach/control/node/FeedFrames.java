package org.cuminreach.control.node;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cuminreach.decisions.configuration.ConfigurationHistory;
import org.cuminreach.decisions.distribution.FeedStep;
import org.cuminreach.decisions.membership.TargetRegistry;
import org.cuminreach.wire.DeltaCodec;
import org.cuminreach.wire.MembershipCodec;
import org.cuminreach.wire.StructCodec;
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
    private final Map<Long, byte[]> targets = new ConcurrentHashMap<>();
    private final Map<Long, byte[]> configurations = new ConcurrentHashMap<>();

    private FeedFrames(
            TargetRegistry registry, ConfigurationHistory history, long revision, long version) {
        this.registry = registry;
        this.history = history;
        this.revision = revision;
        this.version = version;
    }

    static FeedFrames of(
            TargetRegistry registry, ConfigurationHistory history, long revision, long version) {
        return new FeedFrames(registry, history, revision, version);
    }

    long revision() {
        return revision;
    }

    long version() {
        return version;
    }

    boolean leadsTo(long otherRevision, long otherVersion) {
        return revision == otherRevision && version == otherVersion;
    }

    byte[] targets(FeedStep.SendTargets step) {
        return targets.computeIfAbsent(step.sinceRevision(), this::encodeTargets);
    }

    byte[] configuration(FeedStep.SendConfiguration step) {
        return configurations.computeIfAbsent(step.baseVersion(), this::encodeConfiguration);
    }

    private byte[] encodeTargets(long sinceRevision) {
        return StructCodec.encode(MembershipCodec.toFrame(registry.changedSince(sinceRevision)));
    }

    private byte[] encodeConfiguration(long baseVersion) {
        synchronized (history) {
            return StructCodec.encode(
                    Frame.configurationDelta(DeltaCodec.toStruct(history.since(baseVersion))));
        }
    }
}
