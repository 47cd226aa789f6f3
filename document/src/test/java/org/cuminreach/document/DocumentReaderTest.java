package org.cuminreach.document;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminreach.settings.Fault;
import org.cuminreach.settings.ParseResult;

class DocumentReaderTest {
    private static final String VALID_DOCUMENT =
            """
            {
              // One service and its route.
              "services": [
                {"name": "arkiv", "version": "1",
                 "rollout": {"version": "2", "doneBy": "2026-12-04T10:00:00Z"}}],
              "routes": [
                {"name": "catalogue", "host": "arkiv.example", "service": "arkiv"}]
            }
            """;

    @Example
    void readsValidDocument() {
        MeshDocument document = parsed(VALID_DOCUMENT);

        assertThat(document.services()).hasSize(1);
        assertThat(document.service("arkiv").orElseThrow().rollout().orElseThrow().sharePerMille())
                .isEqualTo(1_000);
        assertThat(document.routes().getFirst().pathPrefix()).isEqualTo("/");
    }

    @Example
    void findsAllFaultsAtOnce() {
        List<Fault> faults =
                faults(
                        """
                        {"services": [{"name": "a", "version": "1", "colour": "red"},
                                      {"name": "a", "version": 7}],
                         "routes": [{"name": "r", "host": "h", "pathPrefix": "x",
                                     "service": "missing", "timeoutMillis": 0}]}
                        """);

        assertThat(faults.stream().map(Fault::path).toList())
                .containsExactly(
                        "services[0].colour",
                        "services[1].version",
                        "routes[0].pathPrefix",
                        "routes[0].timeoutMillis",
                        "services[1].name",
                        "routes[0].service");
    }

    @Example
    void refusesTextThatIsNotOneJsonObject() {
        assertThat(faults("{\"services\": [")).hasSize(1);
        assertThat(faults("[]")).containsExactly(new Fault("$", "must be a JSON object"));
        assertThat(faults("{} {}")).hasSize(1);
    }

    @Example
    void refusesRolloutToCurrentVersion() {
        List<Fault> faults =
                faults(
                        """
                        {"services": [{"name": "a", "version": "1",
                          "rollout": {"version": "1", "doneBy": "2026-12-04T10:00:00Z"}}]}
                        """);

        assertThat(faults.getFirst().path()).isEqualTo("services[0].rollout.version");
    }

    private static MeshDocument parsed(String text) {
        return ((ParseResult.Valid<MeshDocument>) DocumentReader.read(text)).value();
    }

    private static List<Fault> faults(String text) {
        return ((ParseResult.Invalid<MeshDocument>) DocumentReader.read(text)).faults();
    }

    private static String withTenants(String tenants) {
        return "{\"services\": [], \"routes\": [], \"tenants\": " + tenants + "}";
    }

    @Example
    void readsTenants() {
        MeshDocument document =
                parsed(
                        withTenants(
                                """
                                [{"name": "huon", "keys": ["k-1", "k-2"], "priority": 2,
                                  "ratePerSecond": 12.5, "burst": 30, "homeRegions": ["south"]},
                                 {"name": "esk", "keys": []}]
                                """));

        Tenant huon = document.tenants().getFirst();
        assertThat(document.requiresKeys()).isTrue();
        assertThat(huon.keys()).containsExactly(ApiKey.ofText("k-1"), ApiKey.ofText("k-2"));
        assertThat(huon.priority()).isEqualTo(2);
        assertThat(huon.ratePerSecond()).isEqualTo(12.5);
        assertThat(huon.burst()).isEqualTo(30);
        assertThat(huon.homeRegions()).containsExactly("south");
        assertThat(document.tenants().get(1).isLimited()).isFalse();
        assertThat(parsed(VALID_DOCUMENT).requiresKeys()).isFalse();
    }

    @Example
    void findsAllFaultsOfTenantsAtOnce() {
        List<Fault> faults =
                faults(
                        withTenants(
                                """
                                [{"name": "huon", "keys": ["secret-1", "", 7], "priority": -1},
                                 {"name": "huon", "keys": ["secret-1", "secret-2", "secret-2"],
                                  "ratePerSecond": -1, "burst": -1},
                                 {"keys": "secret-3", "colour": "red", "priority": "secret-4",
                                  "ratePerSecond": ["secret-5"]},
                                 "secret-6"]
                                """));

        assertThat(faults.stream().map(Fault::path).toList())
                .containsExactly(
                        "tenants[0].keys[2]",
                        "tenants[0].keys[1]",
                        "tenants[0].priority",
                        "tenants[1].name",
                        "tenants[1].keys[0]",
                        "tenants[1].keys[2]",
                        "tenants[1].ratePerSecond",
                        "tenants[1].burst",
                        "tenants[2].name",
                        "tenants[2].keys",
                        "tenants[2].colour",
                        "tenants[2].priority",
                        "tenants[2].ratePerSecond",
                        "tenants[3]");
        assertThat(faults.toString()).doesNotContain("secret");
    }

    @Example
    void faultsOfMalformedTenantsQuoteNoKey() {
        for (String tenants :
                List.of(
                        "{\"name\": \"huon\", \"keys\": [\"secret-1\"]}",
                        "[{\"name\": [\"secret-1\"], \"keys\": {\"a\": \"secret-1\"}}]",
                        "[{\"name\": \"huon\", \"keys\": [secret1]}]",
                        "[{\"name\": \"huon\", \"keys\": [\"secret-1")) {
            assertThat(faults(withTenants(tenants)).toString()).doesNotContain("secret");
        }
    }

    @Example
    void keysShowInNoTextOfTheDocument() {
        MeshDocument document =
                parsed(withTenants("[{\"name\": \"huon\", \"keys\": [\"secret-1\"]}]"));

        assertThat(document.toString()).doesNotContain("secret");
        assertThat(ApiKey.ofText("secret-1").shortDigest()).hasLength(8);
    }
}
