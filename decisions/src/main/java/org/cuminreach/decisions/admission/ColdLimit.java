package org.cuminreach.decisions.admission;

/**
 * What a target withstands while it is cold, and how many calls it may get at most.
 *
 * @param callsPerSecond calls per second that a cold target withstands, above 0
 * @param maxCalls calls that may start within any one second, at least 1
 */
public record ColdLimit(double callsPerSecond, int maxCalls) {
    /**
     * Returns the limit of a target.
     *
     * @param callsPerSecond calls per second that a cold target withstands, above 0
     * @param overage factor on this rate up to which it may be exceeded within a second
     * @param slack calls by which it may be exceeded besides
     * @return the limit
     */
    public static ColdLimit of(double callsPerSecond, double overage, double slack) {
        double most = Math.floor(callsPerSecond * overage + slack);
        return new ColdLimit(callsPerSecond, (int) Math.max(1, most));
    }
}
