package org.cuminreach.decisions.quota;

/**
 * Answer of a control to a demand, or to a part of it.
 *
 * @param tenant name of the tenant
 * @param granted calls that may pass
 * @param refused calls that may not pass
 * @param drawnMillis time of the control
 * @param validMillis time from the question on in which the granted calls have to pass
 * @param retryAfterMillis time after which a refused call may come again
 */
public record QuotaAnswer(
        String tenant,
        int granted,
        int refused,
        long drawnMillis,
        long validMillis,
        long retryAfterMillis) {}
