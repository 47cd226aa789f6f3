package org.cuminreach.runtime.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole HTTP request.
 *
 * @param method its method
 * @param target its path and query
 * @param headers its headers
 * @param body its whole body; not to be changed
 * @param remoteHost IP number it came from
 */
public record HttpCall(
        String method, String target, HttpHeaders headers, byte[] body, String remoteHost) {
    /**
     * Returns the path.
     *
     * @return the target up to its question mark
     */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /**
     * Returns a header.
     *
     * @param name name of the header
     * @param absent value when it is absent
     * @return its first value
     */
    public String header(String name, String absent) {
        String value = headers.get(name);
        return value == null ? absent : value;
    }
}
