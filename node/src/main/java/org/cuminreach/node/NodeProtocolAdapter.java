package org.cuminreach.node;

import org.cuminreach.node.target.TargetProtocol;
import org.cuminreach.runtime.http.HttpHandler;

/** Adapts a node to callers and targets that use other headers or protocols than the mesh. */
public interface NodeProtocolAdapter {
    /**
     * Returns the protocol that targets use.
     *
     * @return the protocol
     */
    TargetProtocol targetProtocol();

    /**
     * Wraps the node's handler of calls in a translation from the callers' protocol.
     *
     * @param meshHandler the node's handler
     * @return the handler that callers use
     */
    HttpHandler adaptCallerHandler(HttpHandler meshHandler);

    /**
     * Returns an adapter for callers and targets that use the mesh's own headers.
     *
     * @return an adapter that translates nothing
     */
    static NodeProtocolAdapter passThrough() {
        return new NodeProtocolAdapter() {
            @Override
            public TargetProtocol targetProtocol() {
                return TargetProtocol.passThrough();
            }

            @Override
            public HttpHandler adaptCallerHandler(HttpHandler meshHandler) {
                return meshHandler;
            }
        };
    }
}
