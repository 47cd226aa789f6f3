package org.cuminreach.decisions.quota;

import java.util.Optional;
import org.cuminreach.document.Tenant;
import org.cuminreach.settings.MeshBounds;

/**
 * Limit on the calls of one tenant as a token bucket. All controls together grant from no more than
 * one such bucket.
 *
 * @param ratePerSecond tokens that it gains each second
 * @param depth tokens that it holds at most
 */
public record QuotaLimit(double ratePerSecond, double depth) {
    /** Time from the question for a token within which the token has to be used. */
    public static final long GRANT_VALID_MILLIS = 250;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Lets each of seven controls hold a whole token of a tenant with a small quota. */
    private static final double MIN_DEPTH = 8;

    /**
     * Returns the limit that keeps a tenant within its quota in each window. A token is used up to
     * {@link #GRANT_VALID_MILLIS} after it is granted, so those granted in a window and in the time
     * before are kept within the bound on the window: depth + rate × (window + validity). What the
     * overage and the slack leave beyond the quota is spent half on the depth, so that short bursts
     * pass, and half on the rate, so that the tenant soon has its burst again.
     *
     * @param tenant the tenant
     * @param bound how far its calls may exceed its quota
     * @return the limit, or empty when the tenant has no quota
     */
    public static Optional<QuotaLimit> of(Tenant tenant, MeshBounds.Quota bound) {
        if (!tenant.isLimited()) {
            return Optional.empty();
        }
        double spanSeconds = (bound.windowMillis() + GRANT_VALID_MILLIS) / MILLIS_PER_SECOND;
        double most = maxCalls(tenant, bound);
        double spare = most - tenant.burst() - tenant.ratePerSecond() * spanSeconds;
        double depth = Math.min(most, Math.max(MIN_DEPTH, tenant.burst() + Math.max(0, spare) / 2));
        return Optional.of(new QuotaLimit((most - depth) / spanSeconds, depth));
    }

    /**
     * Returns the bound on the calls of a tenant in each window.
     *
     * @param tenant the tenant, which has a quota
     * @param bound how far its calls may exceed its quota
     * @return the most calls that may pass in a window
     */
    public static double maxCalls(Tenant tenant, MeshBounds.Quota bound) {
        double quota =
                tenant.ratePerSecond() * bound.windowMillis() / MILLIS_PER_SECOND + tenant.burst();
        return quota * (1 + bound.overage()) + bound.slack();
    }

    /** Returns the part of a limit that a control with a share grants from. */
    QuotaLimit times(double share) {
        return new QuotaLimit(ratePerSecond * share, depth * share);
    }

    double perMilli() {
        return ratePerSecond / MILLIS_PER_SECOND;
    }
}
