package org.cuminreach.decisions.retry;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntSupplier;

/**
 * Retry budgets by service, so that a failing service cannot exhaust the budget of others. All
 * nodes may spend their reserves at the same moment, so the reserve of each gets smaller with their
 * number. Thread-safe.
 */
public final class ServiceRetryBudgets {
    /** Retries that all nodes together may make at once for a service. */
    private static final int MESH_RESERVE = 60;

    /** Retries that a node may make at once for a service, however few nodes there are. */
    private static final int MAX_NODE_RESERVE = 3;

    /** Number of services with their own budget; all others share one. */
    private static final int MAX_SERVICES = 1_024;

    private static final String SHARED_BUDGET = "";

    private final Map<String, RetryBudget> budgets = new TreeMap<>();
    private final IntSupplier nodes;
    private int mostNodes = 1;

    private ServiceRetryBudgets(IntSupplier nodes) {
        this.nodes = nodes;
    }

    /**
     * Creates budgets that start with a full reserve each.
     *
     * @param nodes supplies the number of nodes in the mesh; the largest number seen counts, as
     *     nodes that are away for a moment keep their reserves
     * @return new budgets
     */
    public static ServiceRetryBudgets create(IntSupplier nodes) {
        return new ServiceRetryBudgets(nodes);
    }

    /**
     * Returns the budget of a service.
     *
     * @param service name of the service
     * @return the budget
     */
    public synchronized RetryBudget forService(String service) {
        boolean hasOwnBudget = budgets.containsKey(service) || budgets.size() < MAX_SERVICES;
        mostNodes = Math.max(mostNodes, nodes.getAsInt());
        int reserve = Math.clamp(MESH_RESERVE / mostNodes, 1, MAX_NODE_RESERVE);
        RetryBudget budget =
                budgets.computeIfAbsent(
                        hasOwnBudget ? service : SHARED_BUDGET,
                        name -> RetryBudget.withReserve(reserve));
        budget.limitReserve(reserve);
        return budget;
    }
}
