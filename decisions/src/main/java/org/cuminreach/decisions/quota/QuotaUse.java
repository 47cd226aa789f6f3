package org.cuminreach.decisions.quota;

/**
 * Use of a tenant's quota at one control.
 *
 * @param callsPerSecond tokens granted a second, over the last seconds
 * @param ratePerSecond tokens that this control's share gains each second
 * @param tokens tokens at hand
 * @param granted tokens granted since the tenant was last idle
 * @param refused calls refused since then
 */
public record QuotaUse(
        double callsPerSecond, double ratePerSecond, double tokens, long granted, long refused) {}
