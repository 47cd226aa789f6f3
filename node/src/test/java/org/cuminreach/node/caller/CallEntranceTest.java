package org.cuminreach.node.caller;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Example;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.document.DocumentReader;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Tenant;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.tenant.KeyFreshness;
import org.cuminreach.node.tenant.NodeClocks;
import org.cuminreach.node.tenant.TenantAuthenticator;
import org.cuminreach.runtime.http.HttpAnswer;
import org.cuminreach.runtime.http.HttpCall;
import org.cuminreach.settings.ParseResult;
import org.cuminreach.wire.generated.Heartbeat;

class CallEntranceTest {
    private static final String DOCUMENT =
            """
            {"services": [{"name": "gauges"}],
             "routes": [
               {"name": "read", "host": "river.example", "pathPrefix": "/read/",
                "service": "gauges"},
               {"name": "open", "host": "river.example", "pathPrefix": "/open/",
                "service": "gauges", "public": true}],
             "tenants": [{"name": "huon", "keys": ["k-1"]}]}
            """;
    private static final long REVOCATION_MILLIS = 60_000;

    private final ConfigurationHolder holder = ConfigurationHolder.empty();
    private final KeyFreshness freshness =
            KeyFreshness.create(holder, OptionalLong.of(REVOCATION_MILLIS), NodeClocks::read);
    private final RouteTableCache tables = new RouteTableCache(holder);
    private final CallEntrance entrance =
            new CallEntrance("10.0.0.1", TenantAuthenticator.create(freshness));

    private void configure() {
        MeshDocument document =
                ((ParseResult.Valid<MeshDocument>) DocumentReader.read(DOCUMENT)).value();
        holder.offer(new MeshConfiguration(1, 1, document, "", List.of(), List.of()));
    }

    private void prove() {
        long question = freshness.addQuestion(new Heartbeat(1)).getFreshnessQuestion();
        freshness.recordAnswer(
                new Heartbeat(1).setAnsweredQuestion(question).setConfirmedVersion(1));
    }

    private CallEntrance.Outcome check(String path, String authorization) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", "river.example");
        if (!authorization.isEmpty()) {
            headers.set("Authorization", authorization);
        }
        HttpCall call = new HttpCall("GET", path, headers, new byte[0], "10.0.0.1");
        return entrance.check(call, "id-1", tables.current());
    }

    private static HttpAnswer refused(CallEntrance.Outcome outcome) {
        HttpAnswer answer = ((CallEntrance.Outcome.Refused) outcome).answer();
        assertThat(answer.headers().get(MeshHeaders.OUTCOME)).isEqualTo(MeshHeaders.NOT_RUN);
        return answer;
    }

    private static Optional<String> tenant(CallEntrance.Outcome outcome) {
        return ((CallEntrance.Outcome.Accepted) outcome).origin().tenant().map(Tenant::name);
    }

    @Example
    void nodeWithoutConfigurationNeverAnswers401() {
        prove();

        assertThat(refused(check("/read/1", "Token k-2")).status()).isEqualTo(503);
    }

    @Example
    void unknownOrMissingKeyIsRefusedWithoutRetry() {
        configure();
        prove();

        for (String authorization : List.of("Token k-2", "")) {
            HttpAnswer answer = refused(check("/read/1", authorization));
            assertThat(answer.status()).isEqualTo(401);
            assertThat(answer.headers().contains("Retry-After")).isFalse();
        }
        assertThat(refused(check("/none/1", "")).status()).isEqualTo(404);
    }

    @Example
    void keyOfTenantAndPublicRoutesPass() {
        configure();
        prove();

        assertThat(tenant(check("/read/1", "Token k-1"))).isEqualTo(Optional.of("huon"));
        assertThat(tenant(check("/open/1", ""))).isEqualTo(Optional.empty());
        assertThat(tenant(check("/open/1", "Token k-2"))).isEqualTo(Optional.empty());
    }

    @Example
    void withoutProofKeysAreRefusedForNowAndPublicRoutesPass() {
        configure();

        for (String authorization : List.of("Token k-1", "Token k-2", "")) {
            HttpAnswer answer = refused(check("/read/1", authorization));
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.headers().contains(MeshHeaders.RETRY_AFTER_MILLIS)).isTrue();
        }
        assertThat(tenant(check("/open/1", "Token k-1"))).isEqualTo(Optional.empty());
    }
}
