package org.cuminreach.decisions.membership;

/**
 * Settings of the leases of targets.
 *
 * @param disconnectedLeaseMillis time that a lease runs after its node's session closed, in
 *     milliseconds
 * @param connectedLeaseMillis time that a control's word for its nodes counts, in milliseconds
 * @param processPauseMillis pause between two decisions after which this process counts as having
 *     been stopped, in milliseconds
 * @param massExpiryCount fewest leases ending together that may be a herd
 * @param massExpiryPerMille share of a service or data centre above which they are one, in per
 *     mille
 * @param massExpiryWindowMillis time within which ends count as together, in milliseconds
 * @param withholdMillis time for which a herd's targets are kept as last known, in milliseconds
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
    public static LeaseSettings standard() {
        return new LeaseSettings(4_000, 15_000, 2_000, 3, 333, 30_000, 600_000);
    }
}
