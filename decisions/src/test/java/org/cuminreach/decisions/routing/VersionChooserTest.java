package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cuminreach.decisions.configuration.MeshConfiguration;
import org.cuminreach.decisions.configuration.RolloutPhase;
import org.cuminreach.decisions.configuration.RolloutProgress;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Service;

class VersionChooserTest {
    private static final Service SERVICE = Service.of("arkiv", "1", Optional.empty());

    private record Availability(boolean oldReady, boolean newReady, boolean circuitOpen)
            implements VersionAvailability {
        @Override
        public boolean isReady(String version) {
            return version.equals("1") ? oldReady : newReady;
        }

        @Override
        public boolean isCircuitOpen(String version) {
            return version.equals("2") && circuitOpen;
        }

        @Override
        public boolean isShareExhausted(String version) {
            return false;
        }

        @Override
        public String establishedVersion(Optional<String> rolledOut) {
            return "1";
        }
    }

    @Property(seed = "51", tries = 500)
    void shareNeverSelectsUnavailableVersion(
            @ForAll @IntRange(min = 0, max = 1_000) int share,
            @ForAll boolean newReady,
            @ForAll boolean circuitOpen,
            @ForAll long seed) {
        String chosen = choose(RolloutPhase.MOVING, share, true, newReady, circuitOpen, seed);

        assertThat(chosen.equals("2") && (!newReady || circuitOpen)).isFalse();
    }

    @Property(seed = "52", tries = 500)
    void rolledBackVersionGetsNoCalls(
            @ForAll boolean oldReady, @ForAll boolean newReady, @ForAll long seed) {
        assertThat(choose(RolloutPhase.TAKEN_BACK, 1_000, oldReady, newReady, false, seed))
                .isEqualTo("1");
    }

    @Property(seed = "53", tries = 500)
    void unprovenVersionDoesNotReplaceOldOne(
            @ForAll @IntRange(min = 0, max = 499) int share, @ForAll long seed) {
        int drawn = new SplittableRandom(seed).nextInt(1_000);
        String chosen = choose(RolloutPhase.MOVING, share, false, true, false, seed);

        assertThat(chosen).isEqualTo(drawn < share ? "2" : "1");
    }

    @Property(seed = "54", tries = 200)
    void completedVersionReplacesOldOneWithoutReadyTargets(@ForAll long seed) {
        assertThat(choose(RolloutPhase.DONE, 700, false, true, true, seed)).isEqualTo("2");
    }

    private static String choose(
            RolloutPhase phase,
            int share,
            boolean oldReady,
            boolean newReady,
            boolean circuitOpen,
            long seed) {
        RolloutProgress progress = new RolloutProgress("arkiv", "2", phase, share, 0, 0, "");
        MeshConfiguration configuration =
                MeshConfiguration.of(7, 5, MeshDocument.empty(), "{}", List.of(progress));
        return VersionChooser.choose(
                configuration,
                SERVICE,
                new Availability(oldReady, newReady, circuitOpen),
                new SplittableRandom(seed));
    }
}
