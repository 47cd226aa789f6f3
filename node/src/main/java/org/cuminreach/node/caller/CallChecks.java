package org.cuminreach.node.caller;

import org.cuminreach.node.poison.PoisonFilter;
import org.cuminreach.node.quota.TenantServices;

/**
 * The checks that a call passes before it is sent to a target.
 *
 * @param tenants finds the tenants of calls and keeps their quotas
 * @param poisonFilter blocks requests that crash their targets
 */
public record CallChecks(TenantServices tenants, PoisonFilter poisonFilter) {}
