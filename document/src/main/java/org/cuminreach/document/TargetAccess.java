package org.cuminreach.document;

/**
 * Connection parameters of the targets of a service.
 *
 * @param healthPath path of the health check
 * @param maxConnections maximum number of connections that a target accepts from all callers
 * @param protocol name of the protocol, as given by the operators
 * @param tls whether the targets expect TLS
 */
public record TargetAccess(String healthPath, int maxConnections, String protocol, boolean tls) {
    private static final int DEFAULT_MAX_CONNECTIONS = 1_000;

    /**
     * Returns the parameters of a service that specifies none.
     *
     * @return plain HTTP/1.1 with a health check at /health
     */
    public static TargetAccess defaults() {
        return new TargetAccess("/health", DEFAULT_MAX_CONNECTIONS, "h1", false);
    }
}
