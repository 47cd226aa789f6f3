package org.cuminreach.decisions.tenant;

import java.util.Optional;
import org.cuminreach.document.Tenant;

/** Outcome of the check of a call's API key. */
public sealed interface KeyCheck {
    /**
     * The call may go on.
     *
     * @param tenant its tenant, empty for a call without one
     */
    record Passed(Optional<Tenant> tenant) implements KeyCheck {}

    /** The call has no key that the configuration knows, and the configuration is current. */
    record UnknownKey() implements KeyCheck {}

    /** The node cannot tell now whether the key is valid; it can once it has a new proof. */
    record Unproven() implements KeyCheck {}

    /**
     * Checks the key of a call.
     *
     * @param keys keys of the configuration in force
     * @param isPublic whether the route needs no key
     * @param key key of the call, if it has one
     * @param freshness how far the configuration is known to be current
     * @return the outcome
     */
    static KeyCheck of(
            ApiKeyTable keys, boolean isPublic, Optional<String> key, Freshness freshness) {
        if (!keys.requiresKeys()) {
            return new Passed(Optional.empty());
        }
        Optional<Tenant> tenant =
                freshness.allowsKeys() ? key.flatMap(keys::tenantOfKey) : Optional.empty();
        if (isPublic || tenant.isPresent()) {
            return new Passed(tenant);
        }
        return freshness.showsUnknownKeys() ? new UnknownKey() : new Unproven();
    }
}
