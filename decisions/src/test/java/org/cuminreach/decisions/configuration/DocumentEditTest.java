package org.cuminreach.decisions.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;

class DocumentEditTest {
    @Property(seed = "61", tries = 2_000)
    void editMakesTheLaterText(
            @ForAll @CharRange(from = 'a', to = 'c') String earlier,
            @ForAll @CharRange(from = 'a', to = 'c') String later) {
        assertThat(DocumentEdit.between(earlier, later).applyTo(earlier)).isEqualTo(later);
    }

    @Example
    void changeOfOneRouteOfManyIsSmall() {
        String earlier = "{\"routes\": [" + "{\"name\": \"r\"}, ".repeat(1_000) + "{}]}";
        String later = earlier.replaceFirst("\"r\"", "\"s\"");

        assertThat(DocumentEdit.between(earlier, later).between()).isEqualTo("s");
    }

    @Example
    void editedDocumentIsAcceptedLikeTheWholeOne() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        String base = "{\"services\": [{\"name\": \"arkiv\"}], \"routes\": []}";
        state.apply(1, new MeshCommand.SubmitDocument("operator", "first", 0, base, 0));
        String next = "{\"services\": [{\"name\": \"verksted\"}], \"routes\": []}";
        DocumentEdit edit = DocumentEdit.between(base, next);

        assertThat(state.apply(2, new MeshCommand.EditDocument("operator", "second", 1, edit, 0)))
                .isEqualTo(Optional.of(new SubmissionOutcome.Accepted(2)));
        assertThat(state.configuration().documentText()).isEqualTo(next);
    }

    @Example
    void editOfAnotherDocumentThanThePresentOneIsStale() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        String base = "{\"services\": [], \"routes\": []}";
        state.apply(1, new MeshCommand.SubmitDocument("operator", "first", 0, base, 0));
        DocumentEdit edit = new DocumentEdit(10_000, 10_000, "");

        assertThat(state.apply(2, new MeshCommand.EditDocument("operator", "second", 0, edit, 0)))
                .isEqualTo(Optional.of(new SubmissionOutcome.RefusedAsStale(1)));
        assertThat(state.configuration().documentText()).isEqualTo(base);
    }

    @Example
    void resentEditGetsItsFirstAnswer() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        String base = "{\"services\": [], \"routes\": []}";
        state.apply(1, new MeshCommand.SubmitDocument("operator", "first", 0, base, 0));
        DocumentEdit edit = new DocumentEdit(0, 0, base);
        state.apply(2, new MeshCommand.EditDocument("operator", "second", 1, edit, 0));
        state.apply(3, new MeshCommand.SubmitDocument("operator", "third", 2, base, 0));

        assertThat(state.apply(4, new MeshCommand.EditDocument("operator", "second", 1, edit, 0)))
                .isEqualTo(Optional.of(new SubmissionOutcome.Accepted(2)));
    }
}
