package org.cuminreach.node.tenant;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.cuminreach.decisions.tenant.ApiKeyTable;
import org.cuminreach.decisions.tenant.KeyCheck;
import org.cuminreach.document.Tenant;
import org.cuminreach.node.http.MeshHeaders;

/**
 * Finds the tenant of a call by its API key, which callers send as {@code Authorization: Token
 * KEY}. The key ends here: it is removed from the headers, and the name of the tenant takes its
 * place.
 */
public final class TenantAuthenticator {
    private static final String SCHEME = "token ";

    private final KeyFreshness freshness;

    private TenantAuthenticator(KeyFreshness freshness) {
        this.freshness = freshness;
    }

    /**
     * Returns an authenticator.
     *
     * @param freshness tells how far the configuration is known to be current
     * @return the authenticator
     */
    public static TenantAuthenticator create(KeyFreshness freshness) {
        return new TenantAuthenticator(freshness);
    }

    /**
     * Checks the key of a caller's call. Without tenants the {@code Authorization} header is left
     * to the target.
     *
     * @param headers headers of the call; the key is removed and the tenant's name is set
     * @param isPublic whether the route needs no key
     * @param keys keys of the configuration in force
     * @return the outcome
     */
    public KeyCheck authenticate(HttpHeaders headers, boolean isPublic, ApiKeyTable keys) {
        headers.remove(MeshHeaders.TENANT);
        if (!keys.requiresKeys()) {
            return new KeyCheck.Passed(Optional.empty());
        }
        KeyCheck check = KeyCheck.of(keys, isPublic, takeKey(headers), freshness.current());
        if (check instanceof KeyCheck.Passed passed) {
            passed.tenant()
                    .map(Tenant::name)
                    .ifPresent(name -> headers.set(MeshHeaders.TENANT, name));
        }
        return check;
    }

    /**
     * Tells whether calls with a key may be sent now.
     *
     * @return true while the configuration is known to be current, or need not be
     */
    public boolean allowsKeys() {
        return freshness.current().allowsKeys();
    }

    /**
     * Adds to a call of a tenant for how long its key counts as proven from now on.
     *
     * @param headers headers of the call for the node beside the target
     * @return the same headers
     */
    public HttpHeaders addValidity(HttpHeaders headers) {
        headers.remove(MeshHeaders.KEY_VALID_MILLIS);
        if (headers.contains(MeshHeaders.TENANT)) {
            freshness
                    .remainingMillis()
                    .ifPresent(millis -> headers.set(MeshHeaders.KEY_VALID_MILLIS, millis));
        }
        return headers;
    }

    private static Optional<String> takeKey(HttpHeaders headers) {
        Optional<String> key =
                headers.getAll(HttpHeaderNames.AUTHORIZATION).stream()
                        .filter(TenantAuthenticator::isKey)
                        .map(value -> value.strip().substring(SCHEME.length()).strip())
                        .findFirst();
        headers.remove(HttpHeaderNames.AUTHORIZATION);
        return key;
    }

    private static boolean isKey(String value) {
        return value.strip().regionMatches(true, 0, SCHEME, 0, SCHEME.length());
    }
}
