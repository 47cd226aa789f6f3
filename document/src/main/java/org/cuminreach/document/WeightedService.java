package org.cuminreach.document;

/**
 * A destination of a route with its share of the traffic.
 *
 * @param service name of the service
 * @param weight weight relative to the other destinations of the route; 0 receives no calls
 */
public record WeightedService(String service, int weight) {}
