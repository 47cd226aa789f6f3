package org.cuminreach.document;

import java.time.Instant;

/**
 * A wanted move of traffic to a new version.
 *
 * @param version the version that is to carry traffic
 * @param sharePerMille share of the service's calls that it is to carry, 1 to 1,000
 * @param doneBy time by which the move is to be done
 * @param criteria what counts as bad, and how sure the judge has to be
 */
public record Rollout(
        String version, int sharePerMille, Instant doneBy, RolloutCriteria criteria) {}
