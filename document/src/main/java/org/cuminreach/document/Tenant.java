package org.cuminreach.document;

import java.util.List;

/**
 * A tenant of the mesh, whose callers identify themselves by API keys.
 *
 * @param name unique name
 * @param keys the keys of its callers; a key belongs to one tenant only
 * @param priority priority of its calls, which comes before that of their routes; 0 is the highest
 * @param ratePerSecond calls per second that it may make through all nodes together; 0 when it is
 *     not limited
 * @param burst calls that it may make at once beyond the rate
 * @param homeRegions regions that its calls and their bodies must not leave; empty when they may go
 *     anywhere
 */
public record Tenant(
        String name,
        List<ApiKey> keys,
        int priority,
        double ratePerSecond,
        double burst,
        List<String> homeRegions) {
    /** Copies the lists. */
    public Tenant {
        keys = List.copyOf(keys);
        homeRegions = List.copyOf(homeRegions);
    }

    /**
     * Tells whether the tenant has a quota.
     *
     * @return true when its calls are limited
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
