package org.cuminreach.decisions.rollout;

/**
 * Call results of one node for one version, target and route since its previous report.
 *
 * @param key service, version, route and target of the calls
 * @param counts results of the calls
 * @param spanMillis time over which the calls ended, in milliseconds
 * @param circuitOpen whether the circuit breaker of the node for this version is open
 */
public record Evidence(EvidenceKey key, CallCounts counts, long spanMillis, boolean circuitOpen) {}
