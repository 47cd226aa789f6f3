package org.cuminreach.node.quota;

import org.cuminreach.node.tenant.TenantAuthenticator;

/**
 * What a node needs to serve calls of tenants.
 *
 * @param authenticator finds the tenants of calls
 * @param quotas keeps the quotas of tenants
 */
public record TenantServices(TenantAuthenticator authenticator, QuotaClient quotas) {}
