package org.cuminreach.control.node;

import java.util.List;

/**
 * How far a configuration version has come.
 *
 * @param version the version
 * @param nodes nodes that are known and not gone
 * @param holding nodes that hold it or a later one
 * @param lagging some of those that do not, sorted by name
 */
public record Convergence(long version, int nodes, int holding, List<LaggingNode> lagging) {
    /**
     * A node that lags.
     *
     * @param node its name
     * @param heldVersion version that it holds
     * @param laggingMillis time since the first version that it misses was agreed, in milliseconds
     */
    public record LaggingNode(String node, long heldVersion, long laggingMillis) {}

    /** Copies the list. */
    public Convergence {
        lagging = List.copyOf(lagging);
    }

    /**
     * Tells whether the version is in force everywhere.
     *
     * @return true when no node lags
     */
    public boolean isEverywhere() {
        return holding == nodes;
    }
}
