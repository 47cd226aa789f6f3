package org.cuminreach.decisions.poison;

/**
 * The loss of the connection to a target while it ran a request.
 *
 * @param target name of the node next to the target
 * @param ageMillis time since the loss, in milliseconds
 */
public record TargetLoss(String target, long ageMillis) {}
