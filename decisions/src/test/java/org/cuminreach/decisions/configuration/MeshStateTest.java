package org.cuminreach.decisions.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;

class MeshStateTest {
    @Example
    void concurrentSubmissionsOnSameVersionAcceptOnlyOne() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        assertThat(state.apply(1, submission("a", 0, "{}")))
                .hasValue(new SubmissionOutcome.Accepted(1));
        assertThat(state.apply(2, submission("b", 0, "{}")))
                .hasValue(new SubmissionOutcome.RefusedAsStale(1));
    }

    @Example
    void resendGetsPreviousOutcomeAfterSnapshotRestore() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        Optional<SubmissionOutcome> first = state.apply(1, submission("a", 0, "{}"));
        state.apply(2, submission("b", 1, "{}"));

        MeshState restored = MeshState.of(state.image());
        assertThat(restored.apply(3, submission("a", 0, "{}"))).isEqualTo(first);
        assertThat(restored.configuration().documentVersion()).isEqualTo(2);
    }

    @Example
    void oldestOutcomesAreEvicted() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        for (int index = 1; index <= 10_001; index++) {
            state.apply(index, submission("key-" + index, -1, "{}"));
        }
        assertThat(state.previousOutcome("key-1")).isEmpty();
        assertThat(state.previousOutcome("key-2")).isPresent();
        assertThat(state.image().outcomes()).hasSize(10_000);
    }

    @Example
    void outcomesWithManyFaultsAreEvictedEarlier() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        String invalidDocument = "{\"services\": [" + "1,".repeat(2_999) + "1]}";
        for (int index = 1; index <= 100; index++) {
            state.apply(index, submission("key-" + index, 0, invalidDocument));
        }
        int faults = 0;
        for (MeshStateImage.RetainedOutcome retained : state.image().outcomes()) {
            faults += ((SubmissionOutcome.RefusedAsFaulty) retained.outcome()).faults().size();
        }
        assertThat(state.previousOutcome("key-1")).isEmpty();
        assertThat(state.previousOutcome("key-100")).isPresent();
        assertThat(faults).isAtMost(100_000);
    }

    private static MeshCommand submission(String key, long basedOn, String text) {
        return new MeshCommand.SubmitDocument("test", key, basedOn, text, 1);
    }
}
