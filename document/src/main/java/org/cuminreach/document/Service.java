package org.cuminreach.document;

import java.util.Optional;

/**
 * A service of the mesh.
 *
 * @param name unique name
 * @param version the version that carries traffic now; without one, every version that no rollout
 *     holds back
 * @param rollout the wanted move to another version, if any
 * @param access how its targets are reached
 */
public record Service(
        String name, Optional<String> version, Optional<Rollout> rollout, TargetAccess access) {
    /**
     * Returns a service whose targets are reached in the standard way.
     *
     * @param name unique name
     * @param version the version that carries traffic now
     * @param rollout the wanted move to another version, if any
     * @return the service
     */
    public static Service of(String name, String version, Optional<Rollout> rollout) {
        return new Service(name, Optional.of(version), rollout, TargetAccess.defaults());
    }
}
