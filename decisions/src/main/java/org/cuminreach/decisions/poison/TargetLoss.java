package org.cuminreach.decisions.poison;

/**
 * The loss of the connection to a target while it ran a request.
 *
 * @param target name of the node next to the target
 * @param ageMillis time since the loss, in milliseconds
 * @param targetEnded true if the node next to the target saw it end, false if another node lost its
 *     connection
 */
public record TargetLoss(String target, long ageMillis, boolean targetEnded) {}
