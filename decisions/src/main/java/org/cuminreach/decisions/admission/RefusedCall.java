package org.cuminreach.decisions.admission;

/**
 * Call that waited and is refused without having run.
 *
 * @param <C> type of a call
 * @param call the call
 * @param refusal reason and time after which to retry
 */
public record RefusedCall<C>(C call, AdmissionOutcome.Refused refusal) {}
