package org.cuminreach.node.settings;

import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.settings.Address;

/**
 * The target beside this node, as last described.
 *
 * @param instance identity of this start of it
 * @param service its service
 * @param version version of its software
 * @param address where it listens
 * @param slots calls that it runs at once, at least 1
 * @param phase where it stands in its life
 */
public record TargetDescription(
        String instance,
        String service,
        String version,
        Address address,
        int slots,
        TargetPhase phase) {
    /**
     * Copies the description.
     *
     * @param next another phase
     * @return the same target in that phase
     */
    public TargetDescription withPhase(TargetPhase next) {
        return new TargetDescription(instance, service, version, address, slots, next);
    }
}
