package org.cuminreach.node.target;

import org.cuminreach.decisions.admission.Caller;

/**
 * What a target is told of a call besides the call itself.
 *
 * @param requestId identity of the call
 * @param caller whose call it is
 * @param remainingMillis time left until the caller gives up, in milliseconds
 * @param instance the start of the target that the call is meant for
 */
public record TargetCallMetadata(
        String requestId, Caller caller, long remainingMillis, String instance) {}
