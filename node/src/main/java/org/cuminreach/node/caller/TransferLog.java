package org.cuminreach.node.caller;

import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs calls that spent long between two nodes, where neither of them sees them wait. */
final class TransferLog {
    private static final Logger LOGGER = LoggerFactory.getLogger(TransferLog.class);
    private static final long MICROS_PER_MILLI = 1_000;

    /** Time between the nodes from which a call is logged, in milliseconds. */
    private static final long MIN_LOGGED_MILLIS = 100;

    private TransferLog() {}

    /**
     * Removes the time that the target's node held a call from its answer, and logs the call when
     * the rest of its time was long.
     */
    static void record(CallAttempts attempts, String node, SendOutcome sent, long elapsedMicros) {
        if (!(sent instanceof SendOutcome.Completed completed)) {
            return;
        }
        String held = completed.answer().headers().get(MeshHeaders.HELD_MILLIS);
        completed.answer().headers().remove(MeshHeaders.HELD_MILLIS);
        if (held == null) {
            return;
        }
        long transferMillis;
        try {
            transferMillis = elapsedMicros / MICROS_PER_MILLI - Long.parseLong(held);
        } catch (NumberFormatException malformed) {
            LOGGER.debug("event=held_time_malformed node={} value={}", node, held);
            return;
        }
        if (transferMillis >= MIN_LOGGED_MILLIS) {
            LOGGER.info(
                    "event=call_transfer_slow request={} route={} node={} transfer_ms={} held_ms={}"
                            + " request_bytes={} answer_bytes={}",
                    attempts.requestId(),
                    attempts.route().name(),
                    node,
                    transferMillis,
                    held,
                    attempts.call().body().length,
                    completed.answer().body().length);
        }
    }
}
