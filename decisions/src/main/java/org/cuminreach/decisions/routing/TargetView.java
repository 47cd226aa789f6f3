package org.cuminreach.decisions.routing;

import org.cuminreach.settings.Address;

/**
 * What a node knows of a target when it chooses.
 *
 * @param node name of the node beside the target
 * @param dataCentre where it runs
 * @param instance identity of this start of the target
 * @param inbound address where its node takes calls
 * @param slots calls that the target runs at once, at least 1
 * @param statistics what the chooser's own calls to it met
 */
public record TargetView(
        String node,
        String instance,
        String dataCentre,
        Address inbound,
        int slots,
        TargetStatistics statistics) {}
