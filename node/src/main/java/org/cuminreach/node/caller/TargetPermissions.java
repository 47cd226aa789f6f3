package org.cuminreach.node.caller;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;
import org.cuminreach.decisions.configuration.ConfigurationHolder;
import org.cuminreach.decisions.idempotency.IdempotencyKey;
import org.cuminreach.decisions.routing.TargetFilter;
import org.cuminreach.decisions.routing.TargetView;
import org.cuminreach.document.Route;
import org.cuminreach.node.http.MeshHeaders;
import org.cuminreach.node.http.SendOutcome;
import org.cuminreach.node.peer.MeshView;
import org.cuminreach.runtime.ProcessClock;
import org.cuminreach.runtime.http.HttpCall;

/**
 * The targets that calls from this node may be sent to. Evacuations are those of the newest
 * configuration, also for the later attempts of a call that an older one routed.
 */
public final class TargetPermissions {
    private final String dataCentre;
    private final Map<String, String> regions;
    private final ConfigurationHolder holder;
    private final MeshView view;
    private final HomeChanges homeChanges = new HomeChanges();

    private TargetPermissions(
            String dataCentre,
            Map<String, String> regions,
            ConfigurationHolder holder,
            MeshView view) {
        this.dataCentre = dataCentre;
        this.regions = Map.copyOf(regions);
        this.holder = holder;
        this.view = view;
    }

    /**
     * Creates the permissions of a node.
     *
     * @param dataCentre data centre of the node
     * @param regions region of each data centre that the settings list
     * @param holder holds the current configuration
     * @param view targets known to the node
     * @return the permissions
     */
    public static TargetPermissions create(
            String dataCentre,
            Map<String, String> regions,
            ConfigurationHolder holder,
            MeshView view) {
        return new TargetPermissions(dataCentre, regions, holder, view);
    }

    /** Returns the data centre of the node. */
    String dataCentre() {
        return dataCentre;
    }

    /** Returns the targets that an attempt of a call may be sent to now. */
    PermittedTargets forCall(Route route, List<String> tenantHomes) {
        return new PermittedTargets(filter(route, tenantHomes), view);
    }

    /** Returns the filter for the calls of a route, and of a tenant with the given homes. */
    TargetFilter filter(Route route, List<String> tenantHomes) {
        return TargetFilter.of(
                holder.activeConfiguration().evacuatedDataCentres(),
                regions,
                route.access().homeRegions(),
                tenantHomes);
    }

    /** Returns a call with an idempotency key whose home node must be in the homes of the call. */
    KeyedCall keyedCall(
            HttpCall call,
            Route route,
            List<String> tenantHomes,
            String service,
            IdempotencyKey key,
            HttpHeaders headers,
            long remainingMillis) {
        return new KeyedCall(
                call,
                service,
                KeyedCall.scoped(key, call),
                headers,
                filter(route, tenantHomes),
                homeChanges.since(holder.activeConfiguration(), route, ProcessClock.wallMillis()),
                remainingMillis);
    }

    /**
     * Avoids a data centre in the later attempts of a call when the node beside its target has
     * refused the call because of an evacuation that is not known here yet.
     */
    void recordRefusal(CallAttempts attempts, String version, TargetView target, SendOutcome sent) {
        if (sent instanceof SendOutcome.Completed completed
                && MeshHeaders.NOT_RUN.equals(completed.answer().headers().get(MeshHeaders.OUTCOME))
                && TargetFilter.EVACUATED.equals(
                        completed.answer().headers().get(MeshHeaders.REASON))) {
            view.targets(attempts.service(), version).stream()
                    .filter(other -> other.dataCentre().equals(target.dataCentre()))
                    .forEach(other -> attempts.triedNodes().add(other.node()));
        }
    }
}
