package org.cuminreach.decisions.configuration;

/**
 * A version that was taken back and stays so.
 *
 * @param service name of the service
 * @param version the bad version
 */
public record RolledBackVersion(String service, String version) {}
