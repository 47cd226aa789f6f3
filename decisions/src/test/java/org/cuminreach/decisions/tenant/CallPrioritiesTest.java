package org.cuminreach.decisions.tenant;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cuminreach.decisions.admission.AdmissionRequest;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Route;
import org.cuminreach.document.Tenant;

class CallPrioritiesTest {
    private static MeshDocument document(List<Integer> routes, List<Integer> tenants) {
        return TenantSamples.document(
                routes.stream()
                        .map(priority -> TenantSamples.route("r-" + priority, priority))
                        .toList(),
                tenants.stream()
                        .map(priority -> TenantSamples.tenant("t-" + priority, priority))
                        .toList());
    }

    @Example
    void routePriorityStandsWhenTenantsAreEqual() {
        MeshDocument document = document(List.of(0, 2, 7), List.of(3));
        CallPriorities priorities = CallPriorities.of(document);

        for (Route route : document.routes()) {
            Optional<Tenant> tenant = Optional.of(document.tenants().getFirst());
            assertThat(priorities.rank(route, tenant)).isEqualTo(route.priority());
            assertThat(priorities.rank(route, Optional.empty())).isEqualTo(route.priority());
        }
    }

    @Example
    void tenantPriorityGoesBeforeRoutePriority() {
        MeshDocument document = document(List.of(0, 1, 2), List.of(0, 1));
        CallPriorities priorities = CallPriorities.of(document);
        Optional<Tenant> high = Optional.of(document.tenants().get(0));
        Optional<Tenant> low = Optional.of(document.tenants().get(1));

        assertThat(document.routes().stream().map(route -> priorities.rank(route, high)).toList())
                .containsExactly(0, 1, 2)
                .inOrder();
        assertThat(document.routes().stream().map(route -> priorities.rank(route, low)).toList())
                .containsExactly(6, 7, 8)
                .inOrder();
    }

    @Property(tries = 300, seed = "7")
    void ranksKeepTheOrderOfTenantsThenRoutes(
            @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 9) Integer> routes,
            @ForAll @Size(min = 2, max = 6) List<@IntRange(max = 9) Integer> tenants) {
        MeshDocument document = document(routes, tenants);
        CallPriorities priorities = CallPriorities.of(document);
        boolean tenantsDiffer = tenants.stream().distinct().count() > 1;

        for (Tenant tenant : document.tenants()) {
            for (Route route : document.routes()) {
                int rank = priorities.rank(route, Optional.of(tenant));
                if (tenantsDiffer) {
                    assertThat(rank).isLessThan(AdmissionRequest.PRIORITIES);
                }
                for (Tenant other : document.tenants()) {
                    for (Route otherRoute : document.routes()) {
                        boolean before =
                                tenant.priority() < other.priority()
                                        || tenant.priority() == other.priority()
                                                && route.priority() < otherRoute.priority();
                        if (before) {
                            assertThat(rank)
                                    .isAtMost(priorities.rank(otherRoute, Optional.of(other)));
                        }
                    }
                }
            }
        }
    }
}
