package org.cuminreach.node.target;

import io.netty.handler.codec.http.HttpHeaders;
import org.cuminreach.decisions.tenant.ClockReading;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.tenant.NodeClocks;

/**
 * For how long the API key of a call counts as proven at the node beside its target.
 *
 * @param arrived reading of the clocks when the call arrived
 * @param millis time that was left then, in milliseconds
 */
record KeyValidity(ClockReading arrived, long millis) {
    /** Reads the time that the sender stated; a call without one is valid for any time. */
    static KeyValidity of(HttpHeaders headers) {
        String stated = headers.get(MeshHeaders.KEY_VALID_MILLIS);
        return new KeyValidity(NodeClocks.read(), stated == null ? Long.MAX_VALUE : parse(stated));
    }

    /** Tells whether the key still counts as proven. */
    boolean holdsNow() {
        return holds(NodeClocks.read());
    }

    boolean holds(ClockReading now) {
        return millis == Long.MAX_VALUE || now.isWithin(arrived, millis);
    }

    private static long parse(String stated) {
        try {
            return Long.parseLong(stated);
        } catch (NumberFormatException malformed) {
            // Only nodes set the header. A key whose proof cannot be read is not proven.
            return 0;
        }
    }
}
