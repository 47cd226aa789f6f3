package org.cuminreach.node.tenant;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.cuminreach.decisions.tenant.ApiKeyTable;
import org.cuminreach.decisions.tenant.Freshness;
import org.cuminreach.decisions.tenant.KeyCheck;
import org.cuminreach.document.ApiKey;
import org.cuminreach.document.CallerLimits;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Tenant;
import org.cuminreach.node.http.MeshHeaders;

class TenantAuthenticatorTest {
    private static final String AUTHORIZATION = "Authorization";

    private final TenantAuthenticator authenticator =
            TenantAuthenticator.create(Freshness::certain);
    private final ApiKeyTable keys =
            ApiKeyTable.of(
                    new MeshDocument(
                            1,
                            List.of(),
                            List.of(),
                            RolloutPriority.SAFETY,
                            CallerLimits.defaults(),
                            List.of(
                                    new Tenant(
                                            "huon",
                                            List.of(ApiKey.ofText("k-1")),
                                            0,
                                            0,
                                            0,
                                            List.of()))));

    @Example
    void keyIsReplacedByTheNameOfItsTenant() {
        HttpHeaders headers = headers("Token k-1").set(MeshHeaders.TENANT, "forged");

        KeyCheck check = authenticator.authenticate(headers, false, keys);

        assertThat(check).isInstanceOf(KeyCheck.Passed.class);
        assertThat(headers.getAll(MeshHeaders.TENANT)).containsExactly("huon");
        assertThat(headers.contains(AUTHORIZATION)).isFalse();
    }

    @Example
    void schemeIsReadInAnyCase() {
        assertThat(authenticator.authenticate(headers("token  k-1 "), false, keys))
                .isInstanceOf(KeyCheck.Passed.class);
    }

    @Example
    void otherSchemesAreNoKeys() {
        assertThat(authenticator.authenticate(headers("Bearer k-1"), false, keys))
                .isEqualTo(new KeyCheck.UnknownKey());
        assertThat(authenticator.authenticate(headers("Token"), false, keys))
                .isEqualTo(new KeyCheck.UnknownKey());
    }

    @Example
    void refusedCallKeepsNeitherKeyNorForgedTenant() {
        HttpHeaders headers = headers("Token k-2").set(MeshHeaders.TENANT, "huon");

        assertThat(authenticator.authenticate(headers, false, keys))
                .isEqualTo(new KeyCheck.UnknownKey());
        assertThat(headers.isEmpty()).isTrue();
    }

    @Example
    void keyIsRemovedOnPublicRoutesToo() {
        HttpHeaders headers = headers("Token k-2").set(MeshHeaders.TENANT, "huon");

        assertThat(authenticator.authenticate(headers, true, keys))
                .isEqualTo(new KeyCheck.Passed(Optional.empty()));
        assertThat(headers.isEmpty()).isTrue();
    }

    @Example
    void withoutTenantsTheHeaderIsLeftToTheTarget() {
        HttpHeaders headers = headers("Token k-2").set(MeshHeaders.TENANT, "huon");

        authenticator.authenticate(headers, false, ApiKeyTable.of(MeshDocument.empty()));

        assertThat(headers.get(AUTHORIZATION)).isEqualTo("Token k-2");
        assertThat(headers.contains(MeshHeaders.TENANT)).isFalse();
    }

    private static HttpHeaders headers(String authorization) {
        return new DefaultHttpHeaders().set(AUTHORIZATION, authorization);
    }
}
