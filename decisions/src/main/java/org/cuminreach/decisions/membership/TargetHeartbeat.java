package org.cuminreach.decisions.membership;

import java.util.OptionalLong;
import org.cuminreach.settings.Address;

/**
 * State that a target periodically reports to the node next to it.
 *
 * @param instance identity of the target; a later start may reuse it
 * @param startMillis start time of the target, in milliseconds since the Unix epoch by its own
 *     clock
 * @param sequence number that increases with each heartbeat of one start
 * @param service name of its service
 * @param version version of its software
 * @param address address on which it listens
 * @param slots calls that it runs concurrently, at least 1
 * @param draining whether it accepts no new calls
 * @param coldRemainingMillis time for which it stays cold, in milliseconds; empty when it does not
 *     say
 */
public record TargetHeartbeat(
        String instance,
        long startMillis,
        long sequence,
        String service,
        String version,
        Address address,
        int slots,
        boolean draining,
        OptionalLong coldRemainingMillis) {
    private static final char SEPARATOR = '/';

    /**
     * Returns the identity of this start of the target.
     *
     * @return the instance and its start time
     */
    public String startIdentity() {
        return instance + SEPARATOR + startMillis;
    }

    /**
     * Returns the instance of a start identity.
     *
     * @param startIdentity result of {@link #startIdentity}, or an instance alone
     * @return the instance
     */
    public static String instanceOf(String startIdentity) {
        int separator = startIdentity.lastIndexOf(SEPARATOR);
        return separator < 0 ? startIdentity : startIdentity.substring(0, separator);
    }
}
