package org.cuminreach.document;

import java.time.Instant;

/**
 * A requested shift of traffic to a new version.
 *
 * @param version version that is to receive traffic
 * @param sharePerMille share of the service's calls that it is to receive, 1 to 1,000
 * @param doneBy deadline of the rollout
 * @param criteria regression thresholds and error probabilities of the decision
 */
public record Rollout(
        String version, int sharePerMille, Instant doneBy, RolloutCriteria criteria) {}
