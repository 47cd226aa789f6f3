package org.cuminreach.control.operator.console;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LowerChars;
import net.jqwik.api.constraints.StringLength;
import org.cuminreach.document.DocumentReader;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.settings.Fault;
import org.cuminreach.settings.ParseResult;

class DocumentDraftTest {
    @Property(seed = "31", tries = 100)
    void draftRoundTripsDocument(
            @ForAll @LowerChars @StringLength(min = 1, max = 20) String service,
            @ForAll @IntRange(min = 1, max = 1_000) int share) {
        MeshDocument document =
                readValid(
                        """
                        {"services": [{"name": "%s", "version": "1", "rollout":
                          {"version": "2", "sharePerMille": %d, "doneBy": "2026-12-05T06:00:00Z"}}],
                         "routes": [{"name": "r", "host": "h", "service": "%s",
                          "idempotent": true}],
                         "rolloutPriority": "punctuality"}
                        """
                                .formatted(service, share, service));

        assertThat(readValid(DocumentDraft.of(document).toJson())).isEqualTo(document);
    }

    @Example
    void documentWithFieldsMissingFromFormCannotBeRepresented() {
        String plain = "{\"services\": [{\"name\": \"a\", \"version\": \"1\"}], \"routes\": [%s]}";
        String route = "{\"name\": \"r\", \"host\": \"h\", \"service\": \"a\"%s}";

        assertThat(DocumentDraft.canRepresent(readValid(plain.formatted(route.formatted("")))))
                .isTrue();
        assertThat(
                        DocumentDraft.canRepresent(
                                readValid(plain.formatted(route.formatted(", \"priority\": 2")))))
                .isFalse();
    }

    @Example
    void faultPathsMatchFormRowsAfterBlankRowsAreDropped() {
        Map<String, List<String>> form = new HashMap<>();
        form.put("services[0].name", List.of(" "));
        form.put("services[3].name", List.of("Upper"));
        form.put("services[3].version", List.of("1"));
        form.put("services[3].rollout.version", List.of("2"));
        form.put("services[3].rollout.sharePerMille", List.of("half"));
        form.put("services[3].rollout.doneBy", List.of("soon"));

        List<String> paths =
                readFaults(DocumentDraft.of(form).toJson()).stream().map(Fault::path).toList();

        assertThat(paths)
                .containsExactly(
                        "services[0].name",
                        "services[0].rollout.sharePerMille",
                        "services[0].rollout.doneBy");
    }

    @Property(seed = "32", tries = 200)
    void arbitraryFormFieldsNeverThrow(
            @ForAll @AlphaChars @StringLength(max = 30) String field, @ForAll String value) {
        Map<String, List<String>> form =
                Map.of("services[0]." + field, List.of(value), field, List.of(value));

        assertThat(DocumentReader.read(DocumentDraft.of(form).toJson())).isNotNull();
    }

    private static MeshDocument readValid(String text) {
        return ((ParseResult.Valid<MeshDocument>) DocumentReader.read(text)).value();
    }

    private static List<Fault> readFaults(String text) {
        return ((ParseResult.Invalid<MeshDocument>) DocumentReader.read(text)).faults();
    }
}
