package org.cuminreach.decisions.membership;

import org.cuminreach.settings.Address;

/**
 * State of a target, as announced by the node next to it.
 *
 * @param node name of the node, unique in the mesh
 * @param incarnation start time of the node's process in milliseconds since the epoch; a later
 *     process of the same name has a higher one
 * @param sequence number of the announcement, counted per process
 * @param service name of the target's service
 * @param version version of the target
 * @param dataCentre data centre that it runs in
 * @param inbound address on which the node accepts calls for the target
 * @param slots calls that the target runs concurrently
 * @param phase lifecycle phase of the target
 * @param instance identity of this start of the target; a different one is a different target
 * @param coldMillis time for which the target stays cold after the announcement, in milliseconds; 0
 *     when it is warm
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
        String instance,
        long coldMillis) {
    /**
     * Creates the announcement of a warm target.
     *
     * @param node name of the node, unique in the mesh
     * @param incarnation start time of the node's process in milliseconds since the epoch
     * @param sequence number of the announcement, counted per process
     * @param service name of the target's service
     * @param version version of the target
     * @param dataCentre data centre that it runs in
     * @param inbound address on which the node accepts calls for the target
     * @param slots calls that the target runs concurrently
     * @param phase lifecycle phase of the target
     * @param instance identity of this start of the target
     */
    public Announcement(
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
        this(
                node,
                incarnation,
                sequence,
                service,
                version,
                dataCentre,
                inbound,
                slots,
                phase,
                instance,
                0);
    }

    /**
     * Tells whether this announcement is later than another of the same node. The expiry of a lease
     * has the sequence number of the announcement that it replaces, so that it is later than that
     * one and earlier than the next.
     *
     * @param other the other announcement
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
     * @return true when it has deregistered or its lease has expired
     */
    public boolean isGone() {
        return phase == TargetPhase.GONE;
    }

    /**
     * Tells whether an instance identifies a start of a target. A target that is only known from
     * the settings of its node has the name of the node as its instance at every start.
     *
     * @param node name of the node
     * @param instance instance of its target
     * @return true when a later start has another instance
     */
    public static boolean identifiesStart(String node, String instance) {
        return !instance.equals(node);
    }

    /**
     * Returns this announcement with another phase and sequence number.
     *
     * @param newPhase the phase
     * @param newSequence the sequence number
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
                instance,
                coldMillis);
    }
}
