package org.cuminreach.trial.balancing;

import java.util.Set;
import org.cuminreach.decisions.admission.Caller;

/**
 * A call in the queueing model.
 *
 * @param node node that received it from the caller
 * @param caller its caller
 * @param startMicros time at which the node received it
 * @param triedTargets targets that it has been sent to
 */
record ModelCall(ModelNode node, Caller caller, long startMicros, Set<String> triedTargets) {
    private static final long MICROS_PER_MILLI = 1_000;

    long deadlineMillis(long timeoutMillis) {
        return startMicros / MICROS_PER_MILLI + timeoutMillis;
    }

    long elapsedMicros(long nowMicros) {
        return nowMicros - startMicros;
    }

    double elapsedMillis(long nowMicros) {
        return (double) elapsedMicros(nowMicros) / MICROS_PER_MILLI;
    }
}
