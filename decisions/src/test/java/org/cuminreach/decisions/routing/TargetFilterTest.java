package org.cuminreach.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.cuminreach.settings.Address;

class TargetFilterTest {
    private static final Map<String, String> REGIONS =
            Map.of("east", "north", "west", "north", "far", "south");
    private static final List<String> NONE = List.of();

    private static TargetFilter filter(
            List<String> evacuated, List<String> routeHomes, List<String> tenantHomes) {
        return TargetFilter.of(evacuated, REGIONS, routeHomes, tenantHomes);
    }

    private static List<TargetView> targets(String... dataCentres) {
        return List.of(dataCentres).stream()
                .map(
                        dataCentre ->
                                new TargetView(
                                        "node-" + dataCentre,
                                        "start",
                                        dataCentre,
                                        new Address("10.0.0.1", 1_000),
                                        1,
                                        TargetStatistics.cold(
                                                1, LoadBalancingPolicy.forCheapLinks(), 0)))
                .toList();
    }

    @Example
    void allowsEveryTargetWithoutEvacuationAndHomes() {
        List<TargetView> all = targets("east", "west", "far", "unlisted");
        assertThat(filter(NONE, NONE, NONE).allowed(all)).isSameInstanceAs(all);
    }

    @Example
    void keepsEvacuatedDataCentresOut() {
        TargetFilter filter = filter(List.of("east"), NONE, NONE);
        List<TargetView> all = targets("east", "west");
        assertThat(filter.allowed(all)).containsExactly(all.get(1));
        assertThat(filter.allowed(targets("east"))).isEmpty();
        assertThat(filter.reasonForNone(targets("east"))).isEqualTo("evacuated");
    }

    @Example
    void keepsCallsInTheirHomes() {
        TargetFilter filter = filter(NONE, List.of("south"), NONE);
        assertThat(filter.allows("far")).isTrue();
        assertThat(filter.allows("east")).isFalse();
        assertThat(filter.reasonForNone(targets("east"))).isEqualTo("outside_homes");
    }

    @Example
    void homesOfRouteAndTenantBothBind() {
        TargetFilter both = filter(NONE, List.of("north", "south"), List.of("south"));
        assertThat(both.isHome("far")).isTrue();
        assertThat(both.isHome("east")).isFalse();
        TargetFilter disjoint = filter(NONE, List.of("north"), List.of("south"));
        assertThat(disjoint.isHome("far")).isFalse();
        assertThat(disjoint.isHome("east")).isFalse();
    }

    @Example
    void dataCentreOfUnknownRegionIsOutsideAllHomes() {
        assertThat(filter(NONE, List.of("north"), NONE).allows("unlisted")).isFalse();
        assertThat(filter(NONE, NONE, NONE).allows("unlisted")).isTrue();
    }

    @Example
    void evacuationIsTheReasonWhenOneOfTheHomesIsEvacuated() {
        TargetFilter filter = filter(List.of("far"), List.of("south"), NONE);
        assertThat(filter.reasonForNone(targets("far", "east"))).isEqualTo("evacuated");
        assertThat(filter.reasonForNone(targets("east"))).isEqualTo("outside_homes");
        assertThat(filter.reasonForNone(targets())).isEqualTo("no_ready_target");
    }
}
