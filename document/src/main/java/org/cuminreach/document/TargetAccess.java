package org.cuminreach.document;

/**
 * How the targets of a service are reached.
 *
 * @param healthPath path of their health check
 * @param maxConnections connections that a target accepts from all callers together
 * @param protocol protocol that they speak, as the operators name it
 * @param tls whether they expect TLS
 */
public record TargetAccess(String healthPath, int maxConnections, String protocol, boolean tls) {
    private static final int DEFAULT_MAX_CONNECTIONS = 1_000;

    /**
     * Returns what holds for a service that names nothing else.
     *
     * @return plain HTTP/1.1 with a health check at /health
     */
    public static TargetAccess defaults() {
        return new TargetAccess("/health", DEFAULT_MAX_CONNECTIONS, "h1", false);
    }
}
