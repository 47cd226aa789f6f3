package org.cuminreach.decisions.retry;

/**
 * Limits retries to a share of fresh calls: each fresh call earns a tenth of a retry, up to a small
 * reserve. Safe for use by several threads.
 */
public final class RetryBudget {
    private static final int EARNED_PER_CALL = 1;
    private static final int COST_PER_RETRY = 10;
    private static final int LARGEST_BALANCE = 100 * COST_PER_RETRY;
    private static final int FIRST_BALANCE = 10 * COST_PER_RETRY;

    private int balance = FIRST_BALANCE;

    private RetryBudget() {}

    /**
     * Returns a budget with a small reserve.
     *
     * @return a new budget
     */
    public static RetryBudget full() {
        return new RetryBudget();
    }

    /** Notes a fresh call. */
    public synchronized void earn() {
        balance = Math.min(LARGEST_BALANCE, balance + EARNED_PER_CALL);
    }

    /**
     * Takes a retry from the budget.
     *
     * @return false when the budget is spent
     */
    public synchronized boolean spend() {
        if (balance < COST_PER_RETRY) {
            return false;
        }
        balance -= COST_PER_RETRY;
        return true;
    }
}
