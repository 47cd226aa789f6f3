package org.cuminreach.node.target;

import org.cuminreach.decisions.routing.CallRateLimit;

/**
 * Statements of a target about itself in the headers of an answer.
 *
 * @param limit calls per second that it accepts from all callers together
 * @param leaving true when it is about to stop and wants no more calls
 */
public record TargetNotice(CallRateLimit limit, boolean leaving) {}
