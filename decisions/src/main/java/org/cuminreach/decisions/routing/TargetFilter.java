package org.cuminreach.decisions.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which data centres may handle a call: none that is evacuated, and only those in the home
 * regions of the call. Immutable.
 */
public final class TargetFilter {
    /** Reason when every target that could run a call is in an evacuated data centre. */
    public static final String EVACUATED = "evacuated";

    /** Reason when every target that could run a call is outside its home regions. */
    public static final String OUTSIDE_HOMES = "outside_homes";

    /** Reason when there is no target at all. */
    public static final String NO_READY_TARGET = "no_ready_target";

    private final Set<String> evacuated;
    private final Map<String, String> regions;
    private final List<List<String>> homes;

    private TargetFilter(
            Set<String> evacuated, Map<String, String> regions, List<List<String>> homes) {
        this.evacuated = evacuated;
        this.regions = regions;
        this.homes = homes;
    }

    /**
     * Returns the filter of a call.
     *
     * @param evacuatedDataCentres data centres whose targets get no calls
     * @param regions region of each known data centre; a target in a data centre that is not known
     *     is outside all homes
     * @param routeHomes home regions of the route; empty when it has none
     * @param tenantHomes home regions of the tenant; empty when it has none
     * @return a filter for which both kinds of homes bind
     */
    public static TargetFilter of(
            List<String> evacuatedDataCentres,
            Map<String, String> regions,
            List<String> routeHomes,
            List<String> tenantHomes) {
        List<List<String>> homes = new ArrayList<>();
        if (!routeHomes.isEmpty()) {
            homes.add(routeHomes);
        }
        if (!tenantHomes.isEmpty()) {
            homes.add(tenantHomes);
        }
        return new TargetFilter(new HashSet<>(evacuatedDataCentres), regions, homes);
    }

    /**
     * Tells whether every target may handle the call.
     *
     * @return true when nothing is evacuated and the call has no homes
     */
    public boolean allowsAll() {
        return evacuated.isEmpty() && homes.isEmpty();
    }

    /**
     * Tells whether a call and its body may be in a data centre.
     *
     * @param dataCentre name of the data centre
     * @return true when the call has no homes or the data centre is in a region that is one of each
     *     kind of homes
     */
    public boolean isHome(String dataCentre) {
        if (homes.isEmpty()) {
            return true;
        }
        String region = regions.get(dataCentre);
        return region != null && homes.stream().allMatch(allowed -> allowed.contains(region));
    }

    /**
     * Tells whether targets in a data centre may run the call.
     *
     * @param dataCentre name of the data centre
     * @return true when it is a home of the call and not evacuated
     */
    public boolean allows(String dataCentre) {
        return !evacuated.contains(dataCentre) && isHome(dataCentre);
    }

    /**
     * Returns the targets that may run the call.
     *
     * @param targets the ready targets
     * @return those in data centres that are allowed
     */
    public List<TargetView> allowed(List<TargetView> targets) {
        return allowsAll()
                ? targets
                : targets.stream().filter(target -> allows(target.dataCentre())).toList();
    }

    /**
     * Returns why none of the targets may run the call.
     *
     * @param targets the ready targets, none of which is allowed
     * @return reason code: {@link #EVACUATED} when the end of an evacuation would help
     */
    public String reasonForNone(List<TargetView> targets) {
        if (targets.isEmpty()) {
            return NO_READY_TARGET;
        }
        return targets.stream().anyMatch(target -> isHome(target.dataCentre()))
                ? EVACUATED
                : OUTSIDE_HOMES;
    }
}
