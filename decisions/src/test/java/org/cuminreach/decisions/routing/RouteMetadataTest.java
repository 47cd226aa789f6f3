package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RouteMetadataTest {
    @Property(seed = "53", tries = 200)
    void metadataSurvivesRoundTrip(
            @ForAll String route,
            @ForAll @IntRange(min = 0, max = 99) int priority,
            @ForAll @IntRange(min = 0) int objectiveMillis) {
        RouteMetadata metadata = new RouteMetadata(route, priority, objectiveMillis);

        assertThat(RouteMetadata.parse(metadata.text())).isEqualTo(metadata);
    }

    @Example
    void nameAloneHasNoObjective() {
        RouteMetadata shop = new RouteMetadata("shop", 0, RouteMetadata.NO_OBJECTIVE);

        assertThat(RouteMetadata.parse("shop")).isEqualTo(shop);
        assertThat(RouteMetadata.parse("shop;high;soon").objectiveMillis())
                .isEqualTo(RouteMetadata.NO_OBJECTIVE);
    }
}
