package org.cuminreach.decisions.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminreach.document.MeshDocument;
import org.cuminreach.document.Route;

/** The routes of one document, matched by host and longest path prefix. Immutable. */
public final class RouteTable {
    private final Map<String, List<Route>> byHost;

    private RouteTable(Map<String, List<Route>> byHost) {
        this.byHost = byHost;
    }

    /**
     * Builds the table of a document.
     *
     * @param document the document
     * @return its routes
     */
    public static RouteTable of(MeshDocument document) {
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : document.routes()) {
            byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
        byHost.values().forEach(routes -> routes.sort(longestFirst));
        return new RouteTable(byHost);
    }

    /**
     * Finds the route of a call.
     *
     * @param host value of its Host header; a port is ignored
     * @param path its path
     * @return the route, or empty when none matches
     */
    public Optional<Route> match(String host, String path) {
        int colon = host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        for (Route route : byHost.getOrDefault(name, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
