package org.cuminreach.node;

import org.cuminreach.node.target.TargetProtocol;
import org.cuminreach.runtime.http.HttpHandler;

/** How callers and targets of a node speak, where they do not speak as this mesh does. */
public interface NodeProtocolAdapter {
    /**
     * Returns the headers by which targets are called.
     *
     * @return the protocol of the targets
     */
    TargetProtocol targetProtocol();

    /**
     * Puts a translation in front of the node's handler of calls.
     *
     * @param mesh the handler
     * @return a handler that callers can speak to
     */
    HttpHandler adaptCallerHandler(HttpHandler mesh);

    /**
     * Returns the dialect of this mesh.
     *
     * @return a dialect that translates nothing
     */
    static NodeProtocolAdapter passThrough() {
        return new NodeProtocolAdapter() {
            @Override
            public TargetProtocol targetProtocol() {
                return TargetProtocol.passThrough();
            }

            @Override
            public HttpHandler adaptCallerHandler(HttpHandler mesh) {
                return mesh;
            }
        };
    }
}
