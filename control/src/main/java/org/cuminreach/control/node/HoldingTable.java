package org.cuminreach.control.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cuminreach.wire.generated.NodeHolding;

/** Which configuration version each node of the mesh holds. Safe for use by several threads. */
public final class HoldingTable {
    private final Map<String, NodeHolding> byNode = new HashMap<>();
    private final Map<String, NodeHolding> unsent = new HashMap<>();

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
     * Notes what a node of this control holds.
     *
     * @param holding node, version and the wall-clock time at which it took it over
     */
    public synchronized void note(NodeHolding holding) {
        byNode.put(holding.getNode(), holding);
        unsent.put(holding.getNode(), holding);
    }

    /**
     * Merges what another control told.
     *
     * @param holdings its nodes
     */
    public synchronized void merge(Collection<NodeHolding> holdings) {
        for (NodeHolding holding : holdings) {
            NodeHolding known = byNode.get(holding.getNode());
            if (known == null || holding.getApplied() >= known.getApplied()) {
                byNode.put(holding.getNode(), holding);
            }
        }
    }

    /**
     * Forgets a node that is gone.
     *
     * @param node its name
     */
    public synchronized void forget(String node) {
        byNode.remove(node);
    }

    /**
     * Takes what other controls have not been told.
     *
     * @return the changes since the last call
     */
    public synchronized List<NodeHolding> takeUnsent() {
        List<NodeHolding> taken = new ArrayList<>(unsent.values());
        unsent.clear();
        return taken;
    }

    /**
     * Returns everything.
     *
     * @return holdings by node name, sorted
     */
    public synchronized Map<String, NodeHolding> all() {
        return new TreeMap<>(byNode);
    }
}
