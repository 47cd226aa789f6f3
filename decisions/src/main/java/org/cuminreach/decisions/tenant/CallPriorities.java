package org.cuminreach.decisions.tenant;

import java.util.List;
import java.util.Optional;
import org.cuminreach.decisions.admission.AdmissionRequest;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Route;
import org.cuminreach.document.Tenant;

/**
 * Ranks of calls for admission. The priority of the tenant comes before that of the route. A
 * document has more pairs of both than admission has ranks, so the ranks are shared out evenly
 * among the tenants' priorities, and each tenant's share among the routes' priorities. The rank of
 * a call of a higher tenant priority is never lower.
 */
public final class CallPriorities {
    private final List<Integer> tenantPriorities;
    private final List<Integer> routePriorities;

    private CallPriorities(List<Integer> tenantPriorities, List<Integer> routePriorities) {
        this.tenantPriorities = tenantPriorities;
        this.routePriorities = routePriorities;
    }

    /**
     * Returns the ranks of a document's calls.
     *
     * @param document the document
     * @return the ranks
     */
    public static CallPriorities of(MeshDocument document) {
        return new CallPriorities(
                document.tenants().stream().map(Tenant::priority).distinct().sorted().toList(),
                document.routes().stream().map(Route::priority).distinct().sorted().toList());
    }

    /**
     * Returns the rank of a call.
     *
     * @param route its route
     * @param tenant its tenant; a call without one ranks with those of the highest tenant priority,
     *     since calls of targets on behalf of such calls carry no key
     * @return the rank, 0 being the highest; the route's priority when all tenants have the same
     */
    public int rank(Route route, Optional<Tenant> tenant) {
        int levels = Math.min(tenantPriorities.size(), AdmissionRequest.PRIORITIES);
        if (levels <= 1) {
            return route.priority();
        }
        int ranksPerLevel = AdmissionRequest.PRIORITIES / levels;
        int level =
                Math.min(
                        levels - 1,
                        tenant.map(known -> tenantPriorities.indexOf(known.priority())).orElse(0));
        int within = Math.min(ranksPerLevel - 1, routePriorities.indexOf(route.priority()));
        return level * ranksPerLevel + Math.max(0, within);
    }
}
