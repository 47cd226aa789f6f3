package org.cuminreach.decisions.retry;

/**
 * How far a call has come.
 *
 * @param idempotent true when the call may run more than once
 * @param mayHaveRunBefore true when an earlier attempt may have run
 * @param attempts attempts made so far, on every node the call passed
 * @param remainingMillis time left until its deadline, in milliseconds
 * @param maxAttempts most attempts that the call's route allows
 * @param refusals how often a node refused the call before any target saw it
 */
public record CallProgress(
        boolean idempotent,
        boolean mayHaveRunBefore,
        int attempts,
        long remainingMillis,
        int maxAttempts,
        int refusals) {}
