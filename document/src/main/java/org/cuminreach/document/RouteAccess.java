package org.cuminreach.document;

import java.util.List;

/**
 * Who may call a route and where its calls may be handled.
 *
 * @param isPublic true when calls need no API key although the document has tenants
 * @param homeRegions regions that calls and their bodies must not leave; empty when they may go
 *     anywhere
 */
public record RouteAccess(boolean isPublic, List<String> homeRegions) {
    private static final RouteAccess UNRESTRICTED = new RouteAccess(false, List.of());

    /** Copies the list. */
    public RouteAccess {
        homeRegions = List.copyOf(homeRegions);
    }

    /**
     * Returns the access of a route that specifies none.
     *
     * @return not public and without homes
     */
    public static RouteAccess unrestricted() {
        return UNRESTRICTED;
    }
}
