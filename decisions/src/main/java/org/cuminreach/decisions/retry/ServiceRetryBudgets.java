package org.cuminreach.decisions.retry;

import java.util.Map;
import java.util.TreeMap;

/**
 * Retry budgets by service, so that a failing service cannot exhaust the budget of others.
 * Thread-safe.
 */
public final class ServiceRetryBudgets {
    /** Retries that a node may make at once for a service; twenty nodes make about sixty. */
    private static final int RESERVE = 3;

    /** Number of services with their own budget; all others share one. */
    private static final int MAX_SERVICES = 1_024;

    private static final String SHARED_BUDGET = "";

    private final Map<String, RetryBudget> budgets = new TreeMap<>();

    private ServiceRetryBudgets() {}

    /**
     * Creates budgets that start with a full reserve each.
     *
     * @return new budgets
     */
    public static ServiceRetryBudgets create() {
        return new ServiceRetryBudgets();
    }

    /**
     * Returns the budget of a service.
     *
     * @param service name of the service
     * @return the budget
     */
    public synchronized RetryBudget forService(String service) {
        boolean hasOwnBudget = budgets.containsKey(service) || budgets.size() < MAX_SERVICES;
        return budgets.computeIfAbsent(
                hasOwnBudget ? service : SHARED_BUDGET, name -> RetryBudget.withReserve(RESERVE));
    }
}
