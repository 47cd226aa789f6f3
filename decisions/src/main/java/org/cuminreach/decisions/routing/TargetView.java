package org.cuminreach.decisions.routing;

import org.cuminreach.settings.Address;

/**
 * A target, as seen by a node that may send calls to it.
 *
 * @param node name of the node next to the target
 * @param dataCentre data centre that the target runs in
 * @param instance identity of this start of the target
 * @param inbound address on which its node accepts calls
 * @param slots calls that the target runs concurrently, at least 1
 * @param statistics results of this node's own calls to the target
 */
public record TargetView(
        String node,
        String instance,
        String dataCentre,
        Address inbound,
        int slots,
        TargetStatistics statistics) {}
