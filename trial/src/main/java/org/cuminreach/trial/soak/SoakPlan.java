package org.cuminreach.trial.soak;

/**
 * What a soak does.
 *
 * @param seed decides the disruptions and their times
 * @param durationMillis time during which calls are sent and nodes are disrupted
 * @param nodes number of node processes, each with its target
 * @param callersPerNode callers that send one call after another through each node
 */
public record SoakPlan(long seed, long durationMillis, int nodes, int callersPerNode) {}
