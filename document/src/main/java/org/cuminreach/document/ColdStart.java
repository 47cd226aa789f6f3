package org.cuminreach.document;

/**
 * What the targets of a service withstand while they are cold: after their start, and whenever they
 * say so themselves.
 *
 * @param durationMillis time for which a target is cold after its start, in milliseconds
 * @param callsPerSecond calls per second, from all nodes together, that a cold target withstands; 0
 *     when it withstands as many as a warm one
 */
public record ColdStart(long durationMillis, double callsPerSecond) {
    private static final ColdStart NONE = new ColdStart(0, 0);

    /**
     * Returns the value of a service whose targets may be loaded fully from their start on.
     *
     * @return no duration and no limit
     */
    public static ColdStart none() {
        return NONE;
    }

    /**
     * Tells whether cold targets have to be spared.
     *
     * @return true when there is a limit
     */
    public boolean isLimited() {
        return callsPerSecond > 0;
    }
}
