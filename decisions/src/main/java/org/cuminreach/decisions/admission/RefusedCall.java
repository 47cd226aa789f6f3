package org.cuminreach.decisions.admission;

/**
 * A call that waited and is refused before it ran.
 *
 * @param <C> type of a call
 * @param call the call
 * @param refusal why, and when to come back
 */
public record RefusedCall<C>(C call, AdmissionOutcome.Refused refusal) {}
