package org.cuminreach.decisions.quota;

/**
 * Permission of a control to let one call of a tenant pass.
 *
 * @param tenant name of the tenant
 * @param drawnMillis time of the control at which it was drawn
 * @param expiresMillis time of this node until which it may be used
 * @param session number of the session with the control that granted it
 */
public record QuotaToken(String tenant, long drawnMillis, long expiresMillis, long session) {}
