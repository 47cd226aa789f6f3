package org.cuminreach.decisions.rollout;

/**
 * What one node saw of one version at one target on one route since it last told.
 *
 * @param key what it is about
 * @param counts results of the calls
 * @param spanMillis time over which the calls ended, in milliseconds
 * @param circuitOpen true while the node keeps its calls off the version by itself
 */
public record Evidence(EvidenceKey key, CallCounts counts, long spanMillis, boolean circuitOpen) {}
