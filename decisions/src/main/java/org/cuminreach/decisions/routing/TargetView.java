package org.cuminreach.decisions.routing;

import org.cuminreach.decisions.membership.Announcement;
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
        TargetStatistics statistics) {
    /**
     * Time for which a target that left is avoided where its starts cannot be told apart, in
     * milliseconds: longer than a target takes to stop.
     */
    private static final long LEAVING_RETENTION_MILLIS = 60_000;

    /**
     * Records that the target stated that it is about to stop.
     *
     * @param nowMillis current time
     */
    public void recordLeaving(long nowMillis) {
        statistics.recordLeaving(
                Announcement.identifiesStart(node, instance)
                        ? Long.MAX_VALUE
                        : nowMillis + LEAVING_RETENTION_MILLIS);
    }
}
