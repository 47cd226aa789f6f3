package org.cuminreach.control.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.cuminreach.wire.generated.NodeHolding;

/** Configuration version that each node of the mesh holds. Safe for use by several threads. */
public final class HoldingTable {
    private static final int MAX_VERSIONS = 1_024;

    private final Map<String, NodeHolding> byNode = new HashMap<>();
    private final Map<String, NodeHolding> unsent = new HashMap<>();
    private final TreeMap<Long, Long> committedMillis = new TreeMap<>();

    private HoldingTable() {}

    /**
     * Returns an empty table.
     *
     * @return a new table
     */
    public static HoldingTable empty() {
        return new HoldingTable();
    }

    /**
     * Records that a configuration version is committed.
     *
     * @param version the version
     * @param wallMillis current wall-clock time
     */
    public synchronized void recordCommittedVersion(long version, long wallMillis) {
        committedMillis.putIfAbsent(version, wallMillis);
        if (committedMillis.size() > MAX_VERSIONS) {
            committedMillis.pollFirstEntry();
        }
    }

    /**
     * Records the version that a node of this control holds.
     *
     * @param node name of the node
     * @param version version that it holds
     * @param wallMillis current wall-clock time
     */
    public synchronized void record(String node, long version, long wallMillis) {
        NodeHolding known = byNode.get(node);
        if (known != null && known.getVersion() == version) {
            return;
        }
        NodeHolding holding = new NodeHolding(node, version, wallMillis);
        byNode.put(node, holding);
        unsent.put(node, holding);
    }

    /**
     * Merges the holdings that another control reported.
     *
     * @param holdings holdings of its nodes
     * @param acceptable tells for which nodes the report of another control is accepted
     */
    public synchronized void merge(Collection<NodeHolding> holdings, Predicate<String> acceptable) {
        for (NodeHolding holding : holdings) {
            if (acceptable.test(holding.getNode())) {
                byNode.put(holding.getNode(), holding);
            }
        }
    }

    /**
     * Removes a node that is gone.
     *
     * @param node name of the node
     */
    public synchronized void remove(String node) {
        byNode.remove(node);
        unsent.remove(node);
    }

    /**
     * Returns the holdings that have not been sent to other controls, and marks them as sent.
     *
     * @return the changes since the last call
     */
    public synchronized List<NodeHolding> drainUnsent() {
        List<NodeHolding> drained = new ArrayList<>(unsent.values());
        unsent.clear();
        return drained;
    }

    /**
     * Returns the holdings of some nodes.
     *
     * @param nodes names of the nodes
     * @return the holdings of those nodes that are known
     */
    public synchronized List<NodeHolding> holdingsOf(Collection<String> nodes) {
        return nodes.stream().filter(byNode::containsKey).map(byNode::get).toList();
    }

    /**
     * Returns all holdings.
     *
     * @return holdings by node name, sorted
     */
    public synchronized Map<String, NodeHolding> all() {
        return new TreeMap<>(byNode);
    }

    /**
     * Returns the progress of a version.
     *
     * @param version the version
     * @param wallMillis current wall-clock time
     * @param maxNames maximum number of lagging nodes to list
     * @return how many nodes hold it or a later one, and which nodes lag
     */
    public synchronized Convergence convergence(long version, long wallMillis, int maxNames) {
        List<NodeHolding> lagging =
                byNode.values().stream()
                        .filter(holding -> holding.getVersion() < version)
                        .sorted((one, other) -> one.getNode().compareTo(other.getNode()))
                        .toList();
        List<Convergence.LaggingNode> listed =
                lagging.stream()
                        .limit(maxNames)
                        .map(holding -> laggingNode(holding, wallMillis))
                        .toList();
        return new Convergence(version, byNode.size(), byNode.size() - lagging.size(), listed);
    }

    private Convergence.LaggingNode laggingNode(NodeHolding holding, long wallMillis) {
        Map.Entry<Long, Long> oldestMissing = committedMillis.higherEntry(holding.getVersion());
        long sinceMillis = oldestMissing == null ? wallMillis : oldestMissing.getValue();
        return new Convergence.LaggingNode(
                holding.getNode(), holding.getVersion(), Math.max(0, wallMillis - sinceMillis));
    }
}
