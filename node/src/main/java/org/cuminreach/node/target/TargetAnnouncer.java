package org.cuminreach.node.target;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.node.settings.NodeSettings;
import org.cuminreach.node.settings.TargetDescription;

/** Makes the announcements of this node's target, each of them later than the previous one. */
public final class TargetAnnouncer {
    private final NodeSettings settings;
    private Optional<TargetDescription> target;
    private long incarnation;
    private long sequence;
    private LongSupplier coldMillis = () -> 0;

    private TargetAnnouncer(
            NodeSettings settings, Optional<TargetDescription> target, long incarnation) {
        this.settings = settings;
        this.target = target;
        this.incarnation = incarnation;
    }

    /**
     * Returns the announcer of a process. A target that the settings define is ready immediately;
     * any other is described later.
     *
     * @param settings settings of the node
     * @param incarnation number greater than that of every earlier process of this node
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
     * Raises the incarnation above one that others know for this node.
     *
     * @param known the known incarnation
     */
    public synchronized void raiseIncarnationAbove(long known) {
        incarnation = Math.max(incarnation, known + 1);
    }

    /**
     * Replaces the description of the target.
     *
     * @param description the new description
     * @return whether it differs from the previous one
     */
    public synchronized boolean updateTarget(TargetDescription description) {
        Optional<TargetDescription> next = Optional.of(description);
        boolean differs = !next.equals(target);
        target = next;
        return differs;
    }

    /**
     * Sets the source of the cold time of the target.
     *
     * @param source supplies the time for which the target stays cold, in milliseconds
     */
    public synchronized void setColdMillis(LongSupplier source) {
        coldMillis = source;
    }

    /**
     * Sets the phase of the target for the next announcement.
     *
     * @param phase the phase
     */
    public synchronized void setPhase(TargetPhase phase) {
        target = target.map(description -> description.withPhase(phase));
    }

    /**
     * Returns the latest description of the target.
     *
     * @return the description, or empty when there is none yet
     */
    public synchronized Optional<TargetDescription> target() {
        return target;
    }

    /**
     * Makes the next announcement.
     *
     * @return the announcement, or empty when the target has not been described yet
     */
    public synchronized Optional<Announcement> nextAnnouncement() {
        return target.map(this::announcement);
    }

    private Announcement announcement(TargetDescription description) {
        sequence++;
        return new Announcement(
                settings.name(),
                incarnation,
                sequence,
                description.service(),
                description.version(),
                settings.dataCentre(),
                settings.inboundAddress(),
                description.slots(),
                description.phase(),
                description.instance(),
                coldMillis.getAsLong());
    }
}
