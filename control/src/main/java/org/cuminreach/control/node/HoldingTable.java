package org.cuminreach.control.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.cuminreach.wire.generated.NodeHolding;

/** Which configuration version each node of the mesh holds. Safe for use by several threads. */
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
     * Notes that a configuration version is agreed.
     *
     * @param version the version
     * @param wallMillis present wall-clock time
     */
    public synchronized void recordCommittedVersion(long version, long wallMillis) {
        committedMillis.putIfAbsent(version, wallMillis);
        if (committedMillis.size() > MAX_VERSIONS) {
            committedMillis.pollFirstEntry();
        }
    }

    /**
     * Notes what a node of this control holds.
     *
     * @param node name of the node
     * @param version version that it holds
     * @param wallMillis present wall-clock time
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
     * Merges what another control told of its nodes.
     *
     * @param holdings its nodes
     * @param acceptable tells of which nodes another control's word counts
     */
    public synchronized void merge(Collection<NodeHolding> holdings, Predicate<String> acceptable) {
        for (NodeHolding holding : holdings) {
            if (acceptable.test(holding.getNode())) {
                byNode.put(holding.getNode(), holding);
            }
        }
    }

    /**
     * Forgets a node that is gone.
     *
     * @param node its name
     */
    public synchronized void remove(String node) {
        byNode.remove(node);
        unsent.remove(node);
    }

    /**
     * Takes what other controls have not been told.
     *
     * @return the changes since the last call
     */
    public synchronized List<NodeHolding> drainUnsent() {
        List<NodeHolding> taken = new ArrayList<>(unsent.values());
        unsent.clear();
        return taken;
    }

    /**
     * Returns what some nodes hold.
     *
     * @param nodes names of the nodes
     * @return the holdings of those that are known
     */
    public synchronized List<NodeHolding> holdingsOf(Collection<String> nodes) {
        return nodes.stream().filter(byNode::containsKey).map(byNode::get).toList();
    }

    /**
     * Returns everything.
     *
     * @return holdings by node name, sorted
     */
    public synchronized Map<String, NodeHolding> all() {
        return new TreeMap<>(byNode);
    }

    /**
     * Tells how far a version has come.
     *
     * @param version the version
     * @param wallMillis present wall-clock time
     * @param mostNames most lagging nodes that are named
     * @return how many nodes hold it or a later one, and who lags
     */
    public synchronized Convergence convergence(long version, long wallMillis, int mostNames) {
        List<NodeHolding> lagging =
                byNode.values().stream()
                        .filter(holding -> holding.getVersion() < version)
                        .sorted((one, other) -> one.getNode().compareTo(other.getNode()))
                        .toList();
        List<Convergence.LaggingNode> named =
                lagging.stream()
                        .limit(mostNames)
                        .map(holding -> laggingNode(holding, wallMillis))
                        .toList();
        return new Convergence(version, byNode.size(), byNode.size() - lagging.size(), named);
    }

    private Convergence.LaggingNode laggingNode(NodeHolding holding, long wallMillis) {
        Map.Entry<Long, Long> firstMissed = committedMillis.higherEntry(holding.getVersion());
        long sinceMillis = firstMissed == null ? wallMillis : firstMissed.getValue();
        return new Convergence.LaggingNode(
                holding.getNode(), holding.getVersion(), Math.max(0, wallMillis - sinceMillis));
    }
}
