package org.cuminreach.decisions.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class EvacuationStateTest {
    private static MeshCommand evacuation(String dataCentre, boolean evacuated) {
        return new MeshCommand.SetEvacuation("test", dataCentre, evacuated, 1);
    }

    private static SubmissionOutcome accepted(long version) {
        return new SubmissionOutcome.Accepted(version);
    }

    @Example
    void startIsIdempotentAndRecordedOnce() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        assertThat(state.apply(3, evacuation("west", true))).hasValue(accepted(3));
        assertThat(state.apply(4, evacuation("east", true))).hasValue(accepted(4));
        assertThat(state.apply(5, evacuation("west", true))).hasValue(accepted(4));

        assertThat(state.configuration().evacuatedDataCentres())
                .containsExactly("east", "west")
                .inOrder();
        assertThat(state.configuration().version()).isEqualTo(4);
        assertThat(state.history())
                .containsExactly(
                        new HistoryEntry(3, 1, "test", "evacuation started: west"),
                        new HistoryEntry(4, 1, "test", "evacuation started: east"))
                .inOrder();
    }

    @Example
    void endWithoutStartChangesNothing() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        assertThat(state.apply(3, evacuation("west", false))).hasValue(accepted(0));
        assertThat(state.configuration()).isEqualTo(MeshConfiguration.empty());
        assertThat(state.history()).isEmpty();
    }

    @Example
    void evacuationIsKeptByDocumentsAndSnapshots() {
        MeshState state = MeshState.of(MeshStateImage.empty());
        state.apply(1, evacuation("west", true));
        state.apply(2, new MeshCommand.SubmitDocument("test", "a", 0, "{}", 1));
        MeshState restored = MeshState.of(state.image());

        assertThat(restored.configuration()).isEqualTo(state.configuration());
        assertThat(restored.configuration().isEvacuated("west")).isTrue();
        assertThat(restored.configuration().documentVersion()).isEqualTo(2);
        restored.apply(3, evacuation("west", false));
        assertThat(restored.configuration().evacuatedDataCentres()).isEmpty();
        assertThat(restored.configuration().documentVersion()).isEqualTo(2);
    }

    @Example
    void digestCoversEvacuations() {
        MeshConfiguration none = MeshConfiguration.empty();
        assertThat(ConfigurationDigest.of(evacuated(none, List.of("east"))))
                .isNotEqualTo(ConfigurationDigest.of(none));
        assertThat(ConfigurationDigest.of(evacuated(none, List.of("east"))))
                .isNotEqualTo(ConfigurationDigest.of(evacuated(none, List.of("west"))));
        assertThat(ConfigurationDigest.of(evacuated(none, List.of())))
                .isEqualTo(ConfigurationDigest.of(none));
    }

    /** A node that missed any number of orders holds the same evacuations after one delta. */
    @Property(seed = "104", tries = 200)
    void deltasCarryEvacuations(@ForAll long seed) {
        Random random = new Random(seed);
        MeshState state = MeshState.of(MeshStateImage.empty());
        state.apply(1, new MeshCommand.SubmitDocument("test", "a", 0, "{}", 1));
        ConfigurationHistory history = ConfigurationHistory.of(state.configuration());
        List<MeshConfiguration> committed = new ArrayList<>(List.of(state.configuration()));
        for (int index = 2; index < 12; index++) {
            state.apply(index, evacuation("place-" + random.nextInt(3), random.nextBoolean()));
            if (state.configuration().version() == index) {
                history.advance(state.configuration());
                committed.add(state.configuration());
            }
        }
        MeshConfiguration held = committed.get(random.nextInt(committed.size()));
        ConfigurationHolder holder = ConfigurationHolder.empty();
        holder.offer(held);
        ConfigurationHolder fresh = ConfigurationHolder.empty();

        holder.offer(history.deltaSince(held.version()));
        fresh.offer(history.deltaSince(0));

        List<String> expected = state.configuration().evacuatedDataCentres();
        assertThat(holder.activeConfiguration().evacuatedDataCentres()).isEqualTo(expected);
        assertThat(fresh.activeConfiguration().evacuatedDataCentres()).isEqualTo(expected);
        assertThat(holder.activeConfiguration().version())
                .isEqualTo(state.configuration().version());
    }

    private static MeshConfiguration evacuated(MeshConfiguration base, List<String> dataCentres) {
        return new MeshConfiguration(
                base.version(),
                base.documentVersion(),
                base.document(),
                base.documentText(),
                base.rollouts(),
                dataCentres);
    }
}
