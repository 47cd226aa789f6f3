package org.cuminreach.decisions.retry;

import java.util.Map;
import java.util.TreeMap;

/**
 * The retry budget of each service, so that a failing service cannot spend what the calls of others
 * have earned. Safe for use by several threads.
 */
public final class ServiceRetryBudgets {
    /** Retries that a node may make at once for a service; some twenty nodes share about sixty. */
    private static final int RESERVE = 3;

    /** Services with a budget of their own; the others share one. */
    private static final int MAX_SERVICES = 1_024;

    private static final String SHARED_BUDGET = "";

    private final Map<String, RetryBudget> budgets = new TreeMap<>();

    private ServiceRetryBudgets() {}

    /**
     * Returns budgets with a full reserve each.
     *
     * @return the budgets
     */
    public static ServiceRetryBudgets create() {
        return new ServiceRetryBudgets();
    }

    /**
     * Returns the budget of a service.
     *
     * @param service its name
     * @return the budget
     */
    public synchronized RetryBudget forService(String service) {
        boolean own = budgets.containsKey(service) || budgets.size() < MAX_SERVICES;
        return budgets.computeIfAbsent(
                own ? service : SHARED_BUDGET, name -> RetryBudget.withReserve(RESERVE));
    }
}
