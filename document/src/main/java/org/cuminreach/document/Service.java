package org.cuminreach.document;

import java.util.Optional;

/**
 * A service of the mesh.
 *
 * @param name unique name
 * @param version version that currently receives traffic; when empty, all versions that no rollout
 *     holds back
 * @param rollout requested rollout of another version, if any
 * @param access connection parameters of its targets
 * @param coldStart what its targets withstand while they are cold
 */
public record Service(
        String name,
        Optional<String> version,
        Optional<Rollout> rollout,
        TargetAccess access,
        ColdStart coldStart) {
    /**
     * Returns a service with the default connection parameters.
     *
     * @param name unique name
     * @param version version that currently receives traffic
     * @param rollout requested rollout of another version, if any
     * @return the service
     */
    public static Service of(String name, String version, Optional<Rollout> rollout) {
        return new Service(
                name, Optional.of(version), rollout, TargetAccess.defaults(), ColdStart.none());
    }

    /**
     * Returns the text that the digest of a configuration covers. A missing cold start is left out,
     * so that processes that know none compute the same digest.
     */
    @Override
    public String toString() {
        String known =
                "Service[name="
                        + name
                        + ", version="
                        + version
                        + ", rollout="
                        + rollout
                        + ", access="
                        + access;
        return coldStart.equals(ColdStart.none())
                ? known + "]"
                : known + ", coldStart=" + coldStart + "]";
    }
}
