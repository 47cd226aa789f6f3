package org.cuminreach.decisions.admission;

/** What came of a call's arrival at its target's node. */
public sealed interface AdmissionOutcome {
    /** Run it now. */
    record Run() implements AdmissionOutcome {}

    /** It waits; it comes out of {@link FairQueue#release} or {@link FairQueue#expire} later. */
    record Queued() implements AdmissionOutcome {}

    /**
     * It was refused before it ran.
     *
     * @param reason why
     * @param retryAfterMillis time after which there should be room, in milliseconds
     */
    record Refused(String reason, long retryAfterMillis) implements AdmissionOutcome {}
}
