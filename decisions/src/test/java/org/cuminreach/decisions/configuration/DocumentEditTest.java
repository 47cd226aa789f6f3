package org.cuminreach.decisions.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.IntRange;

class DocumentEditTest {
    @Property(seed = "61", tries = 2_000)
    void editProducesLaterText(
            @ForAll @CharRange(from = 'a', to = 'c') String earlier,
            @ForAll @CharRange(from = 'a', to = 'c') String later) {
        assertThat(DocumentEdit.diff(earlier, later).applyTo(earlier)).isEqualTo(later);
    }

    @Property(seed = "62", tries = 500)
    void editOfFewRoutesIsSmall(
            @ForAll @IntRange(min = 0, max = 299) int one,
            @ForAll @IntRange(min = 0, max = 299) int other) {
        String earlier = document(1, -1, -1);
        String later = document(2, one, other);
        DocumentEdit edit = DocumentEdit.diff(earlier, later);

        assertThat(edit.applyTo(earlier)).isEqualTo(later);
        int added = 0;
        for (DocumentEdit.Part part : edit.parts()) {
            added += part instanceof DocumentEdit.Part.Added text ? text.text().length() : 0;
        }
        assertThat(added + 8 * edit.parts().size()).isLessThan(earlier.length() / 50);
    }

    /** Returns a document of 300 routes, optionally with one route changed and one removed. */
    private static String document(int revision, int changed, int removed) {
        StringBuilder text = new StringBuilder("{\"revision\": " + revision + ", \"routes\": [");
        for (int route = 0; route < 300; route++) {
            if (route != removed) {
                text.append("{\"name\": \"r-").append(route * 7919 % 10_007);
                text.append("\", \"host\": \"a.example\", \"timeoutMillis\": ");
                text.append(route == changed ? 900 : 1_200).append("},");
            }
        }
        return text.append("]}").toString();
    }

    @Example
    void editedDocumentIsAcceptedLikeFullSubmission() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        String base = "{\"services\": [{\"name\": \"arkiv\"}], \"routes\": []}";
        state.apply(1, new MeshCommand.SubmitDocument("operator", "first", 0, base, 0));
        String next = "{\"services\": [{\"name\": \"verksted\"}], \"routes\": []}";
        DocumentEdit edit = DocumentEdit.diff(base, next);

        assertThat(state.apply(2, new MeshCommand.EditDocument("operator", "second", 1, edit, 0)))
                .isEqualTo(Optional.of(new SubmissionOutcome.Accepted(2)));
        assertThat(state.configuration().documentText()).isEqualTo(next);
    }

    @Example
    void editOfOutdatedDocumentIsStale() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        String base = "{\"services\": [], \"routes\": []}";
        state.apply(1, new MeshCommand.SubmitDocument("operator", "first", 0, base, 0));
        DocumentEdit edit = new DocumentEdit(List.of(new DocumentEdit.Part.Kept(10_000, 1)));

        assertThat(state.apply(2, new MeshCommand.EditDocument("operator", "second", 0, edit, 0)))
                .isEqualTo(Optional.of(new SubmissionOutcome.RefusedAsStale(1)));
        assertThat(state.configuration().documentText()).isEqualTo(base);
    }

    /** Guards against an exception in the replicated state, which stops every control. */
    @Example
    void editWithRangeOutsideTheTextIsRefusedAsFaulty() {
        for (DocumentEdit.Part.Kept kept :
                List.of(
                        new DocumentEdit.Part.Kept(0, 1_000),
                        new DocumentEdit.Part.Kept(-1, 1),
                        new DocumentEdit.Part.Kept(1, -1),
                        new DocumentEdit.Part.Kept(Integer.MAX_VALUE, Integer.MAX_VALUE))) {
            MeshState state = MeshState.of(MeshStateImage.empty());
            state.apply(1, new MeshCommand.SubmitDocument("test", "a", 0, "{}", 1));
            MeshCommand edit =
                    new MeshCommand.EditDocument(
                            "test", "b", 1, new DocumentEdit(List.of(kept)), 1);

            SubmissionOutcome outcome = state.apply(2, edit).orElseThrow();

            assertThat(outcome).isInstanceOf(SubmissionOutcome.RefusedAsFaulty.class);
            assertThat(state.configuration().documentVersion()).isEqualTo(1);
            assertThat(state.apply(3, edit)).hasValue(outcome);
        }
    }

    @Example
    void resentEditGetsPreviousOutcome() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        String base = "{\"services\": [], \"routes\": []}";
        state.apply(1, new MeshCommand.SubmitDocument("operator", "first", 0, base, 0));
        DocumentEdit edit = new DocumentEdit(List.of(new DocumentEdit.Part.Added(base)));
        state.apply(2, new MeshCommand.EditDocument("operator", "second", 1, edit, 0));
        state.apply(3, new MeshCommand.SubmitDocument("operator", "third", 2, base, 0));

        assertThat(state.apply(4, new MeshCommand.EditDocument("operator", "second", 1, edit, 0)))
                .isEqualTo(Optional.of(new SubmissionOutcome.Accepted(2)));
    }
}
