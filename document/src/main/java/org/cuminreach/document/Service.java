package org.cuminreach.document;

import java.util.Optional;

/**
 * A service of the mesh.
 *
 * @param name unique name
 * @param version the version that carries traffic now
 * @param rollout the wanted move to another version, if any
 */
public record Service(String name, String version, Optional<Rollout> rollout) {}
