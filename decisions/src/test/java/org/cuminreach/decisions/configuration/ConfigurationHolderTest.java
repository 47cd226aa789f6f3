package org.cuminreach.decisions.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Route;
import org.cuminreach.document.Service;

class ConfigurationHolderTest {
    private static final int VERSIONS = 12;
    private static final int DELIVERIES = 60;

    /** Deltas of any base arrive crossed, twice or never; nodes and controls restart. */
    @Property(seed = "101", tries = 500)
    void versionNeverDecreasesAndEachStateWasCommitted(@ForAll long seed) {
        List<MeshConfiguration> agreed = ConfigurationSamples.history(seed, VERSIONS);
        List<ConfigurationDelta> sent = allDeltas(agreed, seed);
        Random random = new Random(seed);
        ConfigurationHolder holder = ConfigurationHolder.empty();
        for (int delivery = 0; delivery < DELIVERIES; delivery++) {
            if (random.nextInt(20) == 0) {
                holder = ConfigurationHolder.empty();
            }
            long before = holder.activeConfiguration().version();
            OfferOutcome outcome = holder.offer(sent.get(random.nextInt(sent.size())));
            long after = holder.activeConfiguration().version();

            assertThat(after).isAtLeast(before);
            assertThat(outcome instanceof OfferOutcome.Applied).isEqualTo(after > before);
            assertCommitted(holder.activeConfiguration(), agreed);
            assertReferencesResolve(holder.activeConfiguration());
        }
    }

    /** A node that asks for the whole whenever it must ends at the latest version. */
    @Property(seed = "102", tries = 300)
    void nodeConvergesByRequestingFullConfiguration(@ForAll long seed) {
        List<MeshConfiguration> agreed = ConfigurationSamples.history(seed, VERSIONS);
        ConfigurationHistory history = ConfigurationHistory.of(agreed.getFirst());
        agreed.forEach(history::advance);
        ConfigurationHolder holder = ConfigurationHolder.empty();
        MeshConfiguration start = agreed.get(new Random(seed).nextInt(VERSIONS));
        holder.offer(start);
        if (holder.offer(history.deltaSince(start.version()))
                instanceof OfferOutcome.NeedsFullConfiguration) {
            holder.offer(history.deltaSince(0));
        }

        assertCommitted(holder.activeConfiguration(), agreed);
        assertThat(holder.activeConfiguration().version()).isEqualTo(agreed.getLast().version());
    }

    @Property(seed = "103", tries = 300)
    void deltaWithWrongDigestIsNotApplied(@ForAll long seed) {
        List<MeshConfiguration> agreed = ConfigurationSamples.history(seed, 2);
        ConfigurationHistory history = ConfigurationHistory.of(agreed.getFirst());
        history.advance(agreed.getLast());
        ConfigurationDelta sound = history.deltaSince(agreed.getFirst().version());
        ConfigurationHolder holder = ConfigurationHolder.empty();
        holder.offer(agreed.getFirst());

        OfferOutcome outcome = holder.offer(withDifferentServices(sound));

        assertThat(outcome).isInstanceOf(OfferOutcome.NeedsFullConfiguration.class);
        assertThat(holder.activeConfiguration()).isEqualTo(agreed.getFirst());
    }

    @Example
    void configurationWithDanglingRouteIsRefused() {
        ConfigurationHolder holder = ConfigurationHolder.empty();
        MeshDocument document =
                MeshDocument.of(
                        List.of(Service.of("arkiv", "1", Optional.empty())),
                        List.of(ConfigurationSamples.route("r", "verksted", 5)),
                        RolloutPriority.SAFETY);
        ConfigurationHistory history = ConfigurationHistory.of(MeshConfiguration.empty());
        history.advance(new MeshConfiguration(3, 3, document, "", List.of()));

        assertThat(holder.offer(history.deltaSince(0))).isInstanceOf(OfferOutcome.Refused.class);
        assertThat(holder.activeConfiguration().version()).isEqualTo(0);
    }

    @Example
    void versionOutsideHistoryGetsFullConfiguration() {
        List<MeshConfiguration> agreed =
                ConfigurationSamples.history(7, ConfigurationHistory.MAX_STEPS + 3);
        ConfigurationHistory history = ConfigurationHistory.of(agreed.getFirst());
        agreed.forEach(history::advance);

        assertThat(history.deltaSince(agreed.get(0).version()).isFull()).isTrue();
        assertThat(history.deltaSince(agreed.get(2).version()).isFull()).isFalse();
        assertThat(history.deltaSince(agreed.getLast().version() + 9).isFull()).isTrue();
    }

    private static List<ConfigurationDelta> allDeltas(List<MeshConfiguration> agreed, long seed) {
        List<ConfigurationDelta> deltas = new ArrayList<>();
        int restartAt = 1 + new Random(seed).nextInt(VERSIONS - 1);
        ConfigurationHistory history = ConfigurationHistory.of(agreed.getFirst());
        for (int index = 0; index < agreed.size(); index++) {
            if (index == restartAt) {
                history = ConfigurationHistory.of(agreed.get(index));
            }
            history.advance(agreed.get(index));
            for (MeshConfiguration base : agreed) {
                if (base.version() < history.current().version()) {
                    deltas.add(history.deltaSince(base.version()));
                }
            }
            deltas.add(history.deltaSince(0));
        }
        return deltas;
    }

    private static ConfigurationDelta withDifferentServices(ConfigurationDelta sound) {
        return new ConfigurationDelta(
                sound.baseVersion(),
                sound.version(),
                sound.documentVersion(),
                sound.rolloutPriority(),
                new KeyedChanges<>(
                        List.of(Service.of("stranger", "1", Optional.empty())), List.of()),
                sound.routes(),
                sound.rollouts(),
                sound.digest(),
                sound.revision(),
                sound.limits());
    }

    private static void assertCommitted(MeshConfiguration held, List<MeshConfiguration> agreed) {
        if (held.version() == 0) {
            return;
        }
        Optional<MeshConfiguration> same =
                agreed.stream().filter(one -> one.version() == held.version()).findFirst();
        assertThat(same).isPresent();
        assertThat(ConfigurationDigest.of(held)).isEqualTo(ConfigurationDigest.of(same.get()));
    }

    private static void assertReferencesResolve(MeshConfiguration held) {
        for (Route route : held.document().routes()) {
            route.destinations()
                    .forEach(
                            destination ->
                                    assertWithMessage("service of " + route.name())
                                            .that(held.document().service(destination.service()))
                                            .isPresent());
        }
        for (Service service : held.document().services()) {
            assertThat(held.rollout(service.name()).isPresent())
                    .isEqualTo(service.rollout().isPresent());
        }
    }
}
