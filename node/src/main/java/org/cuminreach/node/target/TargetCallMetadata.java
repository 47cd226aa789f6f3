package org.cuminreach.node.target;

import java.util.Optional;
import org.cuminreach.decisions.admission.Caller;

/**
 * Metadata of a call that is sent to its target.
 *
 * @param requestId identity of the call
 * @param caller the caller that sent it
 * @param remainingMillis time left until the caller's deadline, in milliseconds
 * @param instance identity of the start of the target that the call is addressed to
 * @param tenant name of the tenant of the call, empty when it has none
 */
public record TargetCallMetadata(
        String requestId,
        Caller caller,
        long remainingMillis,
        String instance,
        Optional<String> tenant) {}
