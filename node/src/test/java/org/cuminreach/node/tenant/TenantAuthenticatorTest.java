package org.cuminreach.node.tenant;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.tenant.ApiKeyTable;
import org.cuminreach.decisions.tenant.ClockReading;
import org.cuminreach.decisions.tenant.KeyCheck;
import org.cuminreach.document.ApiKey;
import org.cuminreach.document.CallerLimits;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Tenant;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.wire.generated.Heartbeat;

class TenantAuthenticatorTest {
    private static final String AUTHORIZATION = "Authorization";
    private static final long REVOCATION_MILLIS = 5_000;

    private ClockReading now = new ClockReading(1_000, 1_800_000_000_000L);

    private final KeyFreshness freshness =
            KeyFreshness.create(
                    ConfigurationHolder.empty(), OptionalLong.of(REVOCATION_MILLIS), () -> now);
    private final TenantAuthenticator authenticator = TenantAuthenticator.create(freshness);
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

    @BeforeTry
    void prove() {
        long question = freshness.addQuestion(new Heartbeat(1)).getFreshnessQuestion();
        freshness.recordAnswer(
                new Heartbeat(1).setAnsweredQuestion(question).setConfirmedVersion(0));
    }

    private void advance(long steadyMillis, long wallMillis) {
        now = new ClockReading(now.steadyMillis() + steadyMillis, now.wallMillis() + wallMillis);
    }

    @Example
    void nodeWithoutLeaseLetsNoKeyPass() {
        advance(REVOCATION_MILLIS, REVOCATION_MILLIS);

        assertThat(authenticator.authenticate(headers("Token k-1"), false, keys))
                .isEqualTo(new KeyCheck.Unproven());
        assertThat(authenticator.authenticate(headers("Token k-2"), false, keys))
                .isEqualTo(new KeyCheck.Unproven());
        assertThat(authenticator.authenticate(headers("Token k-1"), true, keys))
                .isEqualTo(new KeyCheck.Passed(Optional.empty()));
        assertThat(authenticator.allowsKeys()).isFalse();
    }

    @Example
    void callCarriesTheTimeLeftOfItsProof() {
        advance(1_000, 1_000);

        HttpHeaders ofTenant = new DefaultHttpHeaders().set(MeshHeaders.TENANT, "huon");
        assertThat(authenticator.addValidity(ofTenant).get(MeshHeaders.KEY_VALID_MILLIS))
                .isEqualTo("3000");
        HttpHeaders without = new DefaultHttpHeaders().set(MeshHeaders.KEY_VALID_MILLIS, "forged");
        assertThat(authenticator.addValidity(without).isEmpty()).isTrue();
    }

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
