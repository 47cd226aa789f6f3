package org.cuminreach.decisions.routing;

import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Route;
import org.cuminreach.document.Tenant;

/** Finds home regions in a document that no data centre is in. */
public final class UnknownHomeRegions {
    private UnknownHomeRegions() {}

    /**
     * Finds the routes and tenants with such home regions.
     *
     * @param document the document
     * @param knownRegions regions of all data centres
     * @return the regions that no data centre is in, by path of the route or tenant
     */
    public static SortedMap<String, List<String>> find(
            MeshDocument document, Collection<String> knownRegions) {
        SortedMap<String, List<String>> unknown = new TreeMap<>();
        for (Route route : document.routes()) {
            add(unknown, "routes." + route.name(), route.access().homeRegions(), knownRegions);
        }
        for (Tenant tenant : document.tenants()) {
            add(unknown, "tenants." + tenant.name(), tenant.homeRegions(), knownRegions);
        }
        return unknown;
    }

    private static void add(
            SortedMap<String, List<String>> unknown,
            String path,
            List<String> homes,
            Collection<String> knownRegions) {
        List<String> missing =
                homes.stream().filter(region -> !knownRegions.contains(region)).toList();
        if (!missing.isEmpty()) {
            unknown.put(path, missing);
        }
    }
}
