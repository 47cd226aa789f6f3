package org.cuminreach.decisions.membership;

/**
 * Settings for the leases of targets.
 *
 * @param disconnectedLeaseMillis duration of a lease after its node's session has closed, in
 *     milliseconds
 * @param connectedLeaseMillis duration of a lease from the last report of a control that has a
 *     session with its node, in milliseconds
 * @param processPauseMillis pause between two decisions after which this process is considered to
 *     have been stopped, in milliseconds
 * @param massExpiryCount minimum number of leases expiring together that may be a mass expiry
 * @param massExpiryPerMille share of the targets of a service or data centre above which they are a
 *     mass expiry, in per mille
 * @param massExpiryWindowMillis time within which expiries count as together, in milliseconds
 * @param withholdMillis time for which the targets of a mass expiry are kept in their last known
 *     state, in milliseconds
 */
public record LeaseSettings(
        long disconnectedLeaseMillis,
        long connectedLeaseMillis,
        long processPauseMillis,
        int massExpiryCount,
        int massExpiryPerMille,
        long massExpiryWindowMillis,
        long withholdMillis) {
    /**
     * Returns the settings of a production mesh.
     *
     * @return the settings
     */
    public static LeaseSettings defaults() {
        return new LeaseSettings(4_000, 15_000, 2_000, 3, 333, 30_000, 600_000);
    }
}
