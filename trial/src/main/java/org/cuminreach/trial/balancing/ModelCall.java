package org.cuminreach.trial.balancing;

import java.util.Set;
import org.cuminreach.decisions.admission.Caller;

/**
 * A call of the model.
 *
 * @param node where it entered
 * @param caller whose it is
 * @param begunMicros when it entered
 * @param tried targets that it was sent to
 */
record ModelCall(ModelNode node, Caller caller, long begunMicros, Set<String> tried) {
    private static final long MICROS_PER_MILLI = 1_000;

    long deadlineMillis(long timeoutMillis) {
        return begunMicros / MICROS_PER_MILLI + timeoutMillis;
    }

    long tookMicros(long nowMicros) {
        return nowMicros - begunMicros;
    }

    double tookMillis(long nowMicros) {
        return (double) tookMicros(nowMicros) / MICROS_PER_MILLI;
    }
}
