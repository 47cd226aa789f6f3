package org.cuminreach.trial.balancing;

import java.util.Set;
import org.cuminreach.decisions.admission.Caller;

/**
 * A call of the model.
 *
 * @param node where it entered
 * @param caller whose it is
 * @param startMicros when it entered
 * @param triedTargets targets that it was sent to
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
