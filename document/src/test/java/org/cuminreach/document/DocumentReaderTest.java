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
}
