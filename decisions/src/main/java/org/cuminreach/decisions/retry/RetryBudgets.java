package org.cuminreach.decisions.retry;

import java.util.Map;
import java.util.TreeMap;

/**
 * The retry budget of each service, so that a failing service cannot spend what the calls of others
 * have earned. Safe for use by several threads.
 */
public final class RetryBudgets {
    /** Retries that a node may make at once for a service; some twenty nodes share about sixty. */
    private static final int RESERVE = 3;

    /** Services with a budget of their own; the others share one. */
    private static final int MOST_SERVICES = 1_024;

    private static final String OTHERS = "";

    private final Map<String, RetryBudget> budgets = new TreeMap<>();

    private RetryBudgets() {}

    /**
     * Returns budgets with a full reserve each.
     *
     * @return the budgets
     */
    public static RetryBudgets full() {
        return new RetryBudgets();
    }

    /**
     * Returns the budget of a service.
     *
     * @param service its name
     * @return the budget
     */
    public synchronized RetryBudget of(String service) {
        boolean own = budgets.containsKey(service) || budgets.size() < MOST_SERVICES;
        return budgets.computeIfAbsent(
                own ? service : OTHERS, name -> RetryBudget.withReserve(RESERVE));
    }
}
