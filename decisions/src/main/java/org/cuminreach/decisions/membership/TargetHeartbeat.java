package org.cuminreach.decisions.membership;

import org.cuminreach.settings.Address;

/**
 * What a target says of itself to the node beside it, again and again.
 *
 * @param instance identity of this start of it; a later start may have the same one
 * @param startMillis time of its start, in milliseconds since the Unix epoch by its own clock
 * @param sequence number that grows with each beat of one start
 * @param service its service
 * @param version version of its software
 * @param address where it listens
 * @param slots calls that it runs at once, at least 1
 * @param draining whether it wants no more work
 * @param warmUpRemainingMillis time for which it will still be slow after its start, in
 *     milliseconds
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
        long warmUpRemainingMillis) {
    private static final char SEPARATOR = '/';

    /**
     * Returns what tells this start of the target from every other one.
     *
     * @return the instance and the time of its start
     */
    public String startIdentity() {
        return instance + SEPARATOR + startMillis;
    }

    /**
     * Finds the instance that an identity of a start names.
     *
     * @param startIdentity as {@link #startIdentity} gives it, or an instance alone
     * @return the instance
     */
    public static String instanceOf(String startIdentity) {
        int separator = startIdentity.lastIndexOf(SEPARATOR);
        return separator < 0 ? startIdentity : startIdentity.substring(0, separator);
    }
}
