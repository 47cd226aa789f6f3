package org.cuminreach.decisions.quota;

/** Whether a call of a tenant with a quota may pass. */
public sealed interface QuotaOutcome {
    /**
     * The call may pass, at once.
     *
     * @param token the token that it uses
     */
    record Passes(QuotaToken token) implements QuotaOutcome {}

    /** The call waits for the answer of the control. */
    record Waits() implements QuotaOutcome {}

    /**
     * The call is beyond the quota of its tenant.
     *
     * @param retryAfterMillis time after which it may come again
     */
    record OverQuota(long retryAfterMillis) implements QuotaOutcome {}

    /**
     * No control answered in time.
     *
     * @param retryAfterMillis time after which it may come again
     */
    record NoGrant(long retryAfterMillis) implements QuotaOutcome {}
}
