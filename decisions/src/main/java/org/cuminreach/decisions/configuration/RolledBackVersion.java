package org.cuminreach.decisions.configuration;

/**
 * A version that was rolled back; it cannot be deployed again under the same name.
 *
 * @param service name of the service
 * @param version the version
 */
public record RolledBackVersion(String service, String version) {}
