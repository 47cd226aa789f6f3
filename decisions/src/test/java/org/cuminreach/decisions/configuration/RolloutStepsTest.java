package org.cuminreach.decisions.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

class RolloutStepsTest {
    private static final String DOCUMENT =
            """
            {"services": [{"name": "arkiv", "version": "1",
              "rollout": {"version": "2", "doneBy": "2026-12-04T10:00:00Z"}}],
             "routes": [{"name": "catalogue", "host": "arkiv.example", "service": "arkiv"}]}
            """;

    /** Steps proposed by earlier leaders may be applied in any order. */
    @Property(seed = "61", tries = 300)
    void rolledBackIsFinalAndDoneDoesNotResume(
            @ForAll @Size(min = 1, max = 12) List<RolloutPhase> phases) {
        MeshState state = stateWithAcceptedDocument();
        boolean rolledBack = false;
        boolean done = false;
        long index = 2;
        for (RolloutPhase phase : phases) {
            state.apply(index, step(phase));
            index++;
            rolledBack |= phase == RolloutPhase.TAKEN_BACK;
            done |= phase == RolloutPhase.DONE;
            RolloutPhase known = state.configuration().rollout("arkiv").orElseThrow().phase();
            assertThat(known == RolloutPhase.TAKEN_BACK).isEqualTo(rolledBack);
            assertThat(known.isInProgress()).isEqualTo(!rolledBack && !done);
        }
    }

    @Example
    void resubmittedDocumentDoesNotRestartTheRollout() {
        MeshState state = stateWithAcceptedDocument();
        state.apply(2, step(RolloutPhase.DONE));
        state.apply(3, new MeshCommand.SubmitDocument("operator", "key-2", 1, DOCUMENT, 5));

        RolloutProgress progress = state.configuration().rollout("arkiv").orElseThrow();
        assertThat(progress.phase()).isEqualTo(RolloutPhase.DONE);
        assertThat(progress.sharePerMille()).isEqualTo(500);
    }

    private static MeshState stateWithAcceptedDocument() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        state.apply(1, new MeshCommand.SubmitDocument("operator", "key-1", 0, DOCUMENT, 0));
        return state;
    }

    private static MeshCommand step(RolloutPhase phase) {
        return new MeshCommand.StepRollout("arkiv", "2", phase, 500, "test", 10);
    }
}
