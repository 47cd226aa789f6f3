package org.cuminreach.decisions.tenant;

import java.util.ArrayList;
import java.util.List;
import org.cuminreach.document.ApiKey;
import org.cuminreach.document.CallerLimits;
import org.cuminreach.document.Idempotence;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.RolloutPriority;
import org.cuminreach.document.Route;
import org.cuminreach.document.RouteAccess;
import org.cuminreach.document.Tenant;
import org.cuminreach.document.WeightedService;

/** Tenants and documents with tenants, for tests. */
final class TenantSamples {
    private TenantSamples() {}

    static Tenant tenant(String name, int priority, String... keys) {
        List<ApiKey> all = new ArrayList<>();
        for (String key : keys) {
            all.add(ApiKey.ofDigest(ApiKey.digestOf(key)));
        }
        return new Tenant(name, all, priority, 0, 0, List.of());
    }

    static Route route(String name, int priority) {
        return new Route(
                name,
                "river.example",
                "/" + name + "/",
                List.of(new WeightedService("gauges", 1)),
                1_000,
                Idempotence.ALWAYS,
                2,
                500,
                priority,
                "",
                RouteAccess.unrestricted());
    }

    static MeshDocument document(List<Route> routes, List<Tenant> tenants) {
        return new MeshDocument(
                1, List.of(), routes, RolloutPriority.SAFETY, CallerLimits.defaults(), tenants);
    }

    static MeshDocument documentOf(Tenant... tenants) {
        return document(List.of(), List.of(tenants));
    }
}
