package org.cuminreach.decisions.routing;

/** What a node knows of the versions of a service when it chooses one. */
public interface VersionAvailability {
    /**
     * Tells whether a call could be sent to a version.
     *
     * @param version name of the version
     * @return true when it has a ready target that the call was not sent to already
     */
    boolean isReady(String version);

    /**
     * Tells whether this node keeps its calls off a version on its own evidence.
     *
     * @param version name of the version
     * @return true while it does
     */
    boolean isCircuitOpen(String version);

    /**
     * Tells whether a new version has had its share of the calls that ran.
     *
     * @param version name of the version
     * @return true while it is not to be sent more
     */
    boolean isShareExhausted(String version);

    /**
     * Names the version that a service runs where its document names none.
     *
     * @return the version that its targets have run for longest, or an empty text when none is
     *     known
     */
    String establishedVersion();
}
