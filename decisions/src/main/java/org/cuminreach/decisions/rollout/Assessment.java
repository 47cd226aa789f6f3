package org.cuminreach.decisions.rollout;

import java.util.Map;
import java.util.Optional;

/**
 * What the evidence says of a new version.
 *
 * @param regression why it is bad, or empty while it is not known to be
 * @param logLikelihoodRatio natural logarithm of the likelihood ratio of badness
 * @param callsByRoute calls of the new version that count as evidence of its goodness, by route
 */
record Assessment(
        Optional<String> regression, double logLikelihoodRatio, Map<String, Long> callsByRoute) {
    Assessment {
        callsByRoute = Map.copyOf(callsByRoute);
    }

    long callCount() {
        return callsByRoute.values().stream().mapToLong(Long::longValue).sum();
    }
}
