package org.cuminreach.decisions.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
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

        assertThat(versions.version("arkiv")).hasValue("1");
    }

    @Example
    void establishedVersionWithoutReadyTargetsIsReplaced() {
        EstablishedVersions versions = EstablishedVersions.empty();
        versions.update(List.of(target("a", "1", TargetPhase.READY)));
        versions.update(
                List.of(
                        target("a", "1", TargetPhase.DRAINING),
                        target("b", "2", TargetPhase.READY)));

        assertThat(versions.version("arkiv")).hasValue("2");
        assertThat(versions.version("verksted")).isEmpty();
    }
}
