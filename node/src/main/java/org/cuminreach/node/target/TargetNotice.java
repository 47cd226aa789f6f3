package org.cuminreach.node.target;

import org.cuminreach.decisions.routing.CallRateLimit;
import org.cuminreach.decisions.routing.StatedLoad;

/**
 * Statements of a target about itself in the headers of an answer.
 *
 * @param limit calls per second that it accepts from all callers together
 * @param leaving true when it is about to stop and wants no more calls
 * @param load its load
 */
public record TargetNotice(CallRateLimit limit, boolean leaving, StatedLoad load) {
    /**
     * Creates the notice of a target that does not state its load.
     *
     * @param limit calls per second that it accepts from all callers together
     * @param leaving true when it is about to stop and wants no more calls
     */
    public TargetNotice(CallRateLimit limit, boolean leaving) {
        this(limit, leaving, new StatedLoad.Silent());
    }
}
