package org.cuminreach.node.caller;

import java.util.function.Supplier;
import org.cuminreach.decisions.admission.StopSchedule;
import org.cuminreach.node.poison.PoisonFilter;
import org.cuminreach.node.quota.TenantServices;

/**
 * The checks that a call passes before it is sent to a target.
 *
 * @param tenants finds the tenants of calls and keeps their quotas
 * @param poisonFilter blocks requests that crash their targets
 * @param stopSchedule supplies the schedule by which this node stops
 */
public record CallChecks(
        TenantServices tenants, PoisonFilter poisonFilter, Supplier<StopSchedule> stopSchedule) {}
