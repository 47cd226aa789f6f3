package org.cuminreach.node;

import org.cuminreach.node.target.TargetProtocol;
import org.cuminreach.runtime.http.HttpHandler;

/** How callers and targets of a node speak, where they do not speak as this mesh does. */
public interface NodeDialect {
    /**
     * Returns the headers by which targets are called.
     *
     * @return the protocol of the targets
     */
    TargetProtocol targets();

    /**
     * Puts a translation in front of the node's handler of calls.
     *
     * @param mesh the handler
     * @return a handler that callers can speak to
     */
    HttpHandler callers(HttpHandler mesh);

    /**
     * Returns the dialect of this mesh.
     *
     * @return a dialect that translates nothing
     */
    static NodeDialect ofMesh() {
        return new NodeDialect() {
            @Override
            public TargetProtocol targets() {
                return TargetProtocol.ofMesh();
            }

            @Override
            public HttpHandler callers(HttpHandler mesh) {
                return mesh;
            }
        };
    }
}
