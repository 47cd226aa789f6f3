package org.cuminreach.document;

/**
 * A rule that sends calls to a service. Among the routes of a host, the longest matching path
 * prefix wins.
 *
 * @param name unique name
 * @param host value of the Host header, without port
 * @param pathPrefix path prefix, starting with a slash
 * @param service name of the service that answers
 * @param timeoutMillis time a call may take in all, in milliseconds
 * @param idempotent true when every method on this route may be run more than once; otherwise only
 *     GET, HEAD, OPTIONS, PUT and DELETE may
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        String service,
        int timeoutMillis,
        boolean idempotent) {}
