package org.cuminreach.control.node;

import java.util.List;

/**
 * Progress of the distribution of a configuration version to the nodes.
 *
 * @param version the version
 * @param nodes number of nodes that are known and not gone
 * @param holding number of nodes that hold this version or a later one
 * @param lagging some of the nodes that hold an older version, sorted by name
 */
public record Convergence(long version, int nodes, int holding, List<LaggingNode> lagging) {
    /**
     * A node that holds an older version.
     *
     * @param node name of the node
     * @param heldVersion version that it holds
     * @param laggingMillis time since the oldest version that it lacks was committed, in
     *     milliseconds
     */
    public record LaggingNode(String node, long heldVersion, long laggingMillis) {}

    /** Makes an unmodifiable copy of the list. */
    public Convergence {
        lagging = List.copyOf(lagging);
    }

    /**
     * Tells whether all nodes hold the version or a later one.
     *
     * @return true when no node lags
     */
    public boolean hasConverged() {
        return holding == nodes;
    }
}
