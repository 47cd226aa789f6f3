package org.cuminreach.decisions.tenant;

/**
 * How far a node may rely on its configuration for API keys.
 *
 * @param allowsKeys true when a key that the configuration holds is accepted
 * @param showsUnknownKeys true when a key that the configuration lacks is known to be invalid;
 *     false when it may have been added since
 */
public record Freshness(boolean allowsKeys, boolean showsUnknownKeys) {
    private static final Freshness CERTAIN = new Freshness(true, true);

    /**
     * Returns the freshness of a configuration that is taken as current.
     *
     * @return keys are accepted and refused by the configuration alone
     */
    public static Freshness certain() {
        return CERTAIN;
    }
}
