package org.cuminreach.node.settings;

import org.cuminreach.decisions.membership.TargetPhase;
import org.cuminreach.settings.Address;

/**
 * Description of the target next to this node.
 *
 * @param instance identity of this start of the target
 * @param service name of its service
 * @param version version of its software
 * @param address address on which it listens
 * @param slots calls that it runs concurrently, at least 1
 * @param phase its lifecycle phase
 */
public record TargetDescription(
        String instance,
        String service,
        String version,
        Address address,
        int slots,
        TargetPhase phase) {
    /**
     * Returns this description with another phase.
     *
     * @param newPhase the phase
     * @return the new description
     */
    public TargetDescription withPhase(TargetPhase newPhase) {
        return new TargetDescription(instance, service, version, address, slots, newPhase);
    }
}
