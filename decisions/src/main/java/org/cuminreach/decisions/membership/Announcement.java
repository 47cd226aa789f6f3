package org.cuminreach.decisions.membership;

import org.cuminreach.settings.Address;

/**
 * What the node beside a target says of it.
 *
 * @param node name of the node, unique in the mesh
 * @param incarnation start time of the node's process in milliseconds since the epoch; a later
 *     process of the same name has a higher one
 * @param sequence counts the announcements of one process
 * @param service name of the target's service
 * @param version version of the target
 * @param dataCentre where it runs
 * @param inbound address where the node takes calls for the target
 * @param slots calls that the target runs at once
 * @param phase where the target stands
 * @param instance identity of this start of the target; another one stands for another target
 */
public record Announcement(
        String node,
        long incarnation,
        long sequence,
        String service,
        String version,
        String dataCentre,
        Address inbound,
        int slots,
        TargetPhase phase,
        String instance) {
    /**
     * Tells whether this announcement is later than another of the same node. The end of a lease
     * carries the sequence of the announcement that it ends, and so is later than that one and
     * earlier than the next.
     *
     * @param other the other
     * @return true when this one replaces the other
     */
    public boolean isLaterThan(Announcement other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (sequence != other.sequence) {
            return sequence > other.sequence;
        }
        return isGone() && !other.isGone();
    }

    /**
     * Tells whether the target is gone.
     *
     * @return true when it has left or its lease has ended
     */
    public boolean isGone() {
        return phase == TargetPhase.GONE;
    }

    /**
     * Returns this announcement with another phase.
     *
     * @param newPhase the phase
     * @param newSequence the sequence of the new announcement
     * @return the new announcement
     */
    public Announcement withPhase(TargetPhase newPhase, long newSequence) {
        return new Announcement(
                node,
                incarnation,
                newSequence,
                service,
                version,
                dataCentre,
                inbound,
                slots,
                newPhase,
                instance);
    }
}
