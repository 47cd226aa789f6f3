package org.cuminreach.decisions.rollout;

/**
 * Service, version, route and target that evidence belongs to.
 *
 * @param service name of the service
 * @param version name of the version
 * @param route name of the route
 * @param target name of the node next to the target
 * @param dataCentre data centre of the target
 */
public record EvidenceKey(
        String service, String version, String route, String target, String dataCentre) {}
