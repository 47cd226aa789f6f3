package org.cuminreach.decisions.retry;

/**
 * State of a call that a retry depends on.
 *
 * @param idempotent true when the call may run more than once
 * @param mayHaveRunBefore true when an earlier attempt may have run
 * @param attempts attempts made so far on all nodes that the call passed
 * @param remainingMillis time until its deadline, in milliseconds
 * @param maxAttempts maximum number of attempts that the call's route allows
 * @param refusals number of refusals by nodes before the call reached a target
 * @param abandoned true when nobody waits for the answer any more
 */
public record CallProgress(
        boolean idempotent,
        boolean mayHaveRunBefore,
        int attempts,
        long remainingMillis,
        int maxAttempts,
        int refusals,
        boolean abandoned) {}
