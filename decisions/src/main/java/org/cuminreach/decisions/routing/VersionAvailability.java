package org.cuminreach.decisions.routing;

/** State of the versions of a service, as seen by the node that chooses one. */
public interface VersionAvailability {
    /**
     * Tells whether the call can be sent to a version.
     *
     * @param version name of the version
     * @return true when it has a ready target that the call was not sent to already
     */
    boolean isReady(String version);

    /**
     * Tells whether this node avoids a version because of the results of its own calls to it.
     *
     * @param version name of the version
     * @return true while the version is avoided
     */
    boolean isCircuitOpen(String version);

    /**
     * Tells whether a new version has received its share of the calls that ran.
     *
     * @param version name of the version
     * @return true while no more calls should be sent to it
     */
    boolean isShareExhausted(String version);

    /**
     * Returns the version that a service runs when the document names none.
     *
     * @return the established version, which its targets have run for longest, or an empty string
     *     when none is known
     */
    String establishedVersion();
}
