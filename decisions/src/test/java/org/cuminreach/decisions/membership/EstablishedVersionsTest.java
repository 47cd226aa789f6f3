package org.cuminreach.decisions.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.cuminreach.settings.Address;

class EstablishedVersionsTest {
    private static Announcement target(String node, String version, TargetPhase phase) {
        return new Announcement(
                node,
                1,
                1,
                "arkiv",
                version,
                "nidaros",
                new Address("10.0.0.1", 80),
                9,
                phase,
                node);
    }

    @Example
    void newVersionDoesNotReplaceEstablishedOne() {
        EstablishedVersions versions = EstablishedVersions.empty();
        versions.update(List.of(target("a", "1", TargetPhase.READY)));
        versions.update(
                List.of(
                        target("a", "1", TargetPhase.READY),
                        target("b", "2", TargetPhase.READY),
                        target("c", "2", TargetPhase.READY)));

        assertThat(versions.version("arkiv", Optional.empty())).hasValue("1");
    }

    @Example
    void establishedVersionWithoutReadyTargetsIsReplaced() {
        EstablishedVersions versions = EstablishedVersions.empty();
        versions.update(List.of(target("a", "1", TargetPhase.READY)));
        versions.update(
                List.of(
                        target("a", "1", TargetPhase.DRAINING),
                        target("b", "2", TargetPhase.READY)));

        assertThat(versions.version("arkiv", Optional.empty())).hasValue("2");
        assertThat(versions.version("verksted", Optional.empty())).isEmpty();
    }

    @Example
    void versionBeingRolledOutIsNotEstablishedBesideAnother() {
        EstablishedVersions versions = EstablishedVersions.empty();
        versions.update(
                List.of(
                        target("a", "1", TargetPhase.READY),
                        target("b", "2", TargetPhase.READY),
                        target("c", "2", TargetPhase.READY)));

        assertThat(versions.version("arkiv", Optional.of("2"))).hasValue("1");
        assertThat(versions.version("arkiv", Optional.of("3"))).hasValue("2");
    }

    @Example
    void versionBeingRolledOutDoesNotReplaceEstablishedOneWithoutReadyTargets() {
        EstablishedVersions versions = EstablishedVersions.empty();
        versions.update(List.of(target("a", "1", TargetPhase.READY)));
        versions.update(
                List.of(target("a", "1", TargetPhase.GONE), target("b", "2", TargetPhase.READY)));

        assertThat(versions.version("arkiv", Optional.of("2"))).hasValue("1");
    }

    @Example
    void onlyKnownVersionIsEstablishedEvenIfItIsBeingRolledOut() {
        EstablishedVersions versions = EstablishedVersions.empty();
        versions.update(List.of(target("a", "1", TargetPhase.READY)));

        assertThat(versions.version("arkiv", Optional.of("1"))).hasValue("1");
    }
}
