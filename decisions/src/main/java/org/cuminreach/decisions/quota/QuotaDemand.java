package org.cuminreach.decisions.quota;

/**
 * What a node tells its control about one tenant.
 *
 * @param tenant name of the tenant
 * @param wanted calls for which it asks a token each
 * @param returned tokens of calls that have not run
 * @param drawnMillis time of the control at which the earliest of these was drawn; without meaning
 *     when none is returned
 */
public record QuotaDemand(String tenant, int wanted, int returned, long drawnMillis) {}
