package org.cuminreach.node.target;

import java.util.Optional;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.node.settings.TargetDescription;

/** Makes the announcements of this node's target. Each one is later than the one before it. */
public final class TargetAnnouncer {
    private final NodeSettings settings;
    private Optional<TargetDescription> target;
    private long incarnation;
    private long sequence;

    private TargetAnnouncer(
            NodeSettings settings, Optional<TargetDescription> target, long incarnation) {
        this.settings = settings;
        this.target = target;
        this.incarnation = incarnation;
    }

    /**
     * Returns the announcer of a process. A target that the settings name is ready at once; any
     * other is described later.
     *
     * @param settings settings of the node
     * @param incarnation a number above that of every earlier process of this node
     * @return the announcer
     */
    public static TargetAnnouncer create(NodeSettings settings, long incarnation) {
        return new TargetAnnouncer(settings, settings.configuredTarget(), incarnation);
    }

    /**
     * Returns the incarnation of this process.
     *
     * @return the number
     */
    public synchronized long incarnation() {
        return incarnation;
    }

    /**
     * Moves to a later incarnation than one that others know for this node.
     *
     * @param known the incarnation that is known
     */
    public synchronized void raiseIncarnationAbove(long known) {
        incarnation = Math.max(incarnation, known + 1);
    }

    /**
     * Takes a description of the target.
     *
     * @param description the target as it is now
     * @return whether it differs from the one before
     */
    public synchronized boolean updateTarget(TargetDescription description) {
        Optional<TargetDescription> next = Optional.of(description);
        boolean differs = !next.equals(target);
        target = next;
        return differs;
    }

    /**
     * Enters a phase; the next announcement tells it.
     *
     * @param next the phase
     */
    public synchronized void setPhase(TargetPhase next) {
        target = target.map(described -> described.withPhase(next));
    }

    /**
     * Returns the target as last described.
     *
     * @return the target, or empty when it has not been described yet
     */
    public synchronized Optional<TargetDescription> target() {
        return target;
    }

    /**
     * Makes the next announcement.
     *
     * @return the announcement, or empty when there is no target to announce
     */
    public synchronized Optional<Announcement> nextAnnouncement() {
        return target.map(this::announcement);
    }

    private Announcement announcement(TargetDescription described) {
        sequence++;
        return new Announcement(
                settings.name(),
                incarnation,
                sequence,
                described.service(),
                described.version(),
                settings.dataCentre(),
                settings.inboundAddress(),
                described.slots(),
                described.phase(),
                described.instance());
    }
}
