package org.cuminreach.decisions.tenant;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminreach.document.ApiKey;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Tenant;

/** Tenants of a document by the digests of their API keys and by name. Immutable. */
public final class ApiKeyTable {
    private static final ApiKeyTable EMPTY = new ApiKeyTable(Map.of(), Map.of());

    private final Map<String, Tenant> tenantsByDigest;
    private final Map<String, Tenant> tenantsByName;

    private ApiKeyTable(Map<String, Tenant> tenantsByDigest, Map<String, Tenant> tenantsByName) {
        this.tenantsByDigest = tenantsByDigest;
        this.tenantsByName = tenantsByName;
    }

    /**
     * Returns the table of a document.
     *
     * @param document the document
     * @return its keys
     */
    public static ApiKeyTable of(MeshDocument document) {
        if (!document.requiresKeys()) {
            return EMPTY;
        }
        Map<String, Tenant> byDigest = new HashMap<>();
        Map<String, Tenant> byName = new HashMap<>();
        for (Tenant tenant : document.tenants()) {
            byName.put(tenant.name(), tenant);
            for (ApiKey key : tenant.keys()) {
                byDigest.put(key.digest(), tenant);
            }
        }
        return new ApiKeyTable(byDigest, byName);
    }

    /**
     * Tells whether callers need a key on routes that are not public.
     *
     * @return true when the document has tenants
     */
    public boolean requiresKeys() {
        return !tenantsByName.isEmpty();
    }

    /**
     * Finds the tenant that holds a key.
     *
     * @param keyText the key
     * @return its tenant, or empty when the key is unknown
     */
    public Optional<Tenant> tenantOfKey(String keyText) {
        return tenantsByDigest.isEmpty()
                ? Optional.empty()
                : Optional.ofNullable(tenantsByDigest.get(ApiKey.digestOf(keyText)));
    }

    /**
     * Finds a tenant.
     *
     * @param name its name
     * @return the tenant, or empty when the document does not declare it
     */
    public Optional<Tenant> tenant(String name) {
        return Optional.ofNullable(tenantsByName.get(name));
    }
}
