package org.cuminreach.document;

/**
 * A part of a route's traffic.
 *
 * @param service name of the service that answers this part
 * @param weight its weight among the parts of the route; 0 sends nothing
 */
public record WeightedService(String service, int weight) {}
