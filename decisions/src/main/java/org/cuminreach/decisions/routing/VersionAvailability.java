package org.cuminreach.decisions.routing;

import java.util.Optional;

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
     * @param rolledOut version that a rollout of the service moves its calls to, if there is one
     * @return the established version, which is another than the one rolled out if the node knows
     *     any, or an empty string when none is known
     */
    String establishedVersion(Optional<String> rolledOut);
}
