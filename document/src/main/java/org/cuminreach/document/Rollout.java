package org.cuminreach.document;

import java.time.Instant;

/**
 * A wanted move of traffic to a new version.
 *
 * @param version the version that is to carry traffic
 * @param sharePerMille share of the service's calls that it is to carry, 1 to 1,000
 * @param doneBy time by which the move is to be done
 */
public record Rollout(String version, int sharePerMille, Instant doneBy) {}
