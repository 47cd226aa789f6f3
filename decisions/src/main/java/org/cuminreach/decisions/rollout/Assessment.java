package org.cuminreach.decisions.rollout;

import java.util.Map;
import java.util.Optional;

/**
 * Comparison of a new version with the old one.
 *
 * @param regression description of the regression found, or empty
 * @param logLikelihoodRatio natural logarithm of the likelihood ratio of a regression
 * @param callsByRoute calls of the new version that count in its favour, by route
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
