package org.cuminreach.decisions.admission;

/** Result of offering a call to the admission queue of its target. */
public sealed interface AdmissionOutcome {
    /** The call runs now. */
    record Run() implements AdmissionOutcome {}

    /** The call waits until {@link FairQueue#release} starts it or it is refused. */
    record Queued() implements AdmissionOutcome {}

    /**
     * The call is refused and has not run.
     *
     * @param reason reason code
     * @param retryAfterMillis time after which there should be room, in milliseconds
     */
    record Refused(String reason, long retryAfterMillis) implements AdmissionOutcome {}
}
