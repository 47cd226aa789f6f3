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

    /** Deltas of any base arrive out of order, twice or never; nodes and controls restart. */
    @Property(seed = "101", tries = 500)
    void versionNeverDecreasesAndEachStateWasCommitted(@ForAll long seed) {
        List<MeshConfiguration> committed = ConfigurationSamples.history(seed, VERSIONS);
        List<ConfigurationDelta> sent = allDeltas(committed, seed);
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
            assertCommitted(holder.activeConfiguration(), committed);
            assertReferencesResolve(holder.activeConfiguration());
        }
    }

    /** A node that requests the full configuration when needed reaches the latest version. */
    @Property(seed = "102", tries = 300)
    void nodeConvergesByRequestingFullConfiguration(@ForAll long seed) {
        List<MeshConfiguration> committed = ConfigurationSamples.history(seed, VERSIONS);
        ConfigurationHistory history = ConfigurationHistory.of(committed.getFirst());
        committed.forEach(history::advance);
        ConfigurationHolder holder = ConfigurationHolder.empty();
        MeshConfiguration start = committed.get(new Random(seed).nextInt(VERSIONS));
        holder.offer(start);
        if (holder.offer(history.deltaSince(start.version()))
                instanceof OfferOutcome.NeedsFullConfiguration) {
            holder.offer(history.deltaSince(0));
        }

        assertCommitted(holder.activeConfiguration(), committed);
        assertThat(holder.activeConfiguration().version()).isEqualTo(committed.getLast().version());
    }

    @Property(seed = "103", tries = 300)
    void deltaWithWrongDigestIsNotApplied(@ForAll long seed) {
        List<MeshConfiguration> committed = ConfigurationSamples.history(seed, 2);
        ConfigurationHistory history = ConfigurationHistory.of(committed.getFirst());
        history.advance(committed.getLast());
        ConfigurationDelta valid = history.deltaSince(committed.getFirst().version());
        ConfigurationHolder holder = ConfigurationHolder.empty();
        holder.offer(committed.getFirst());

        OfferOutcome outcome = holder.offer(withDifferentServices(valid));

        assertThat(outcome).isInstanceOf(OfferOutcome.NeedsFullConfiguration.class);
        assertThat(holder.activeConfiguration()).isEqualTo(committed.getFirst());
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
        history.advance(MeshConfiguration.of(3, 3, document, "", List.of()));

        assertThat(holder.offer(history.deltaSince(0))).isInstanceOf(OfferOutcome.Refused.class);
        assertThat(holder.activeConfiguration().version()).isEqualTo(0);
    }

    /** Of versions that are applied together a control adds only the latest to its history. */
    @Example
    void nodeFromAnotherControlGetsNoFullConfiguration() {
        MeshConfiguration first = configuration(1, 10, 10);
        MeshConfiguration second = configuration(2, 20, 10);
        MeshConfiguration third = configuration(3, 20, 30);
        ConfigurationHistory history = ConfigurationHistory.of(first);
        history.advance(third);
        ConfigurationHolder holder = ConfigurationHolder.empty();
        holder.offer(second);

        ConfigurationDelta delta = history.deltaSince(2);

        assertThat(delta.isFull()).isFalse();
        assertThat(holder.offer(delta)).isInstanceOf(OfferOutcome.Applied.class);
        assertThat(ConfigurationDigest.of(holder.activeConfiguration()))
                .isEqualTo(ConfigurationDigest.of(third));
    }

    private static MeshConfiguration configuration(long version, int timeoutA, int timeoutB) {
        MeshDocument document =
                MeshDocument.of(
                        List.of(Service.of("arkiv", "1", Optional.empty())),
                        List.of(
                                ConfigurationSamples.route("a", "arkiv", timeoutA),
                                ConfigurationSamples.route("b", "arkiv", timeoutB)),
                        RolloutPriority.SAFETY);
        return MeshConfiguration.of(version, version, document, "text", List.of());
    }

    @Example
    void versionOutsideHistoryGetsFullConfiguration() {
        List<MeshConfiguration> committed =
                ConfigurationSamples.history(7, ConfigurationHistory.MAX_STEPS + 3);
        ConfigurationHistory history = ConfigurationHistory.of(committed.getFirst());
        committed.forEach(history::advance);

        assertThat(history.deltaSince(committed.get(0).version()).isFull()).isTrue();
        assertThat(history.deltaSince(committed.get(2).version()).isFull()).isFalse();
        assertThat(history.deltaSince(committed.getLast().version() + 9).isFull()).isTrue();
    }

    private static List<ConfigurationDelta> allDeltas(
            List<MeshConfiguration> committed, long seed) {
        List<ConfigurationDelta> deltas = new ArrayList<>();
        int restartAt = 1 + new Random(seed).nextInt(VERSIONS - 1);
        ConfigurationHistory history = ConfigurationHistory.of(committed.getFirst());
        for (int index = 0; index < committed.size(); index++) {
            if (index == restartAt) {
                history = ConfigurationHistory.of(committed.get(index));
            }
            history.advance(committed.get(index));
            for (MeshConfiguration base : committed) {
                if (base.version() < history.current().version()) {
                    deltas.add(history.deltaSince(base.version()));
                }
            }
            deltas.add(history.deltaSince(0));
        }
        return deltas;
    }

    private static ConfigurationDelta withDifferentServices(ConfigurationDelta valid) {
        return new ConfigurationDelta(
                valid.baseVersion(),
                valid.version(),
                valid.documentVersion(),
                valid.rolloutPriority(),
                new KeyedChanges<>(
                        List.of(Service.of("stranger", "1", Optional.empty())), List.of()),
                valid.routes(),
                valid.rollouts(),
                valid.digest(),
                valid.revision(),
                valid.limits(),
                valid.tenants(),
                valid.evacuatedDataCentres());
    }

    private static void assertCommitted(MeshConfiguration held, List<MeshConfiguration> committed) {
        if (held.version() == 0) {
            return;
        }
        Optional<MeshConfiguration> expected =
                committed.stream().filter(one -> one.version() == held.version()).findFirst();
        assertThat(expected).isPresent();
        assertThat(ConfigurationDigest.of(held)).isEqualTo(ConfigurationDigest.of(expected.get()));
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
