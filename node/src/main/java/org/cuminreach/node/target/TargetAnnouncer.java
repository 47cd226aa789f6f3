package org.cuminreach.node.target;

import org.cuminreach.decisions.membership.Announcement;
import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.node.settings.NodeSettings;

/** What this node says of its target; each announcement has a higher sequence than the last. */
public final class TargetAnnouncer {
    private final NodeSettings settings;
    private long incarnation;
    private long sequence;
    private TargetPhase phase = TargetPhase.READY;

    private TargetAnnouncer(NodeSettings settings, long incarnation) {
        this.settings = settings;
        this.incarnation = incarnation;
    }

    /**
     * Returns the announcer of a node.
     *
     * @param settings settings of the node
     * @param incarnation start time of the process, in milliseconds since the epoch
     * @return the announcer
     */
    public static TargetAnnouncer create(NodeSettings settings, long incarnation) {
        return new TargetAnnouncer(settings, incarnation);
    }

    /**
     * Returns the start time of the process.
     *
     * @return milliseconds since the epoch
     */
    public synchronized long incarnation() {
        return incarnation;
    }

    /**
     * Takes an incarnation above one that the controls know from an earlier process of this name,
     * whose wall clock was ahead.
     *
     * @param known the incarnation that the controls know
     */
    public synchronized void surpass(long known) {
        incarnation = Math.max(incarnation, known + 1);
    }

    /**
     * Moves the target to another phase.
     *
     * @param next the phase
     */
    public synchronized void enter(TargetPhase next) {
        phase = next;
    }

    /**
     * Makes the next announcement.
     *
     * @return the announcement
     */
    public synchronized Announcement next() {
        sequence++;
        NodeSettings.Target target = settings.target();
        return new Announcement(
                settings.name(),
                incarnation,
                sequence,
                target.service(),
                target.version(),
                settings.dataCentre(),
                settings.inboundAddress(),
                target.slots(),
                phase);
    }
}
