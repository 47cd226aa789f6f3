package org.cuminreach.decisions.retry;

/**
 * Limits retries to a share of fresh calls: each fresh call earns a tenth of a retry, up to a small
 * reserve. Safe for use by several threads.
 */
public final class RetryBudget {
    private static final int CREDIT_PER_CALL = 1;
    private static final int COST_PER_RETRY = 10;
    private static final int MAX_RESERVE = 100;
    private static final int INITIAL_RESERVE = 10;

    private final int maxBalance;
    private int balance;

    private RetryBudget(int firstRetries, int mostRetries) {
        balance = firstRetries * COST_PER_RETRY;
        maxBalance = mostRetries * COST_PER_RETRY;
    }

    /**
     * Returns a budget with a small reserve.
     *
     * @return a new budget
     */
    public static RetryBudget withDefaultReserve() {
        return new RetryBudget(INITIAL_RESERVE, MAX_RESERVE);
    }

    /**
     * Returns a budget whose reserve never grows beyond a number of retries. The reserves of all
     * nodes may be spent in the same moment, so that a small one keeps the mesh's sum bounded.
     *
     * @param retries the reserve, full at first
     * @return a new budget
     */
    public static RetryBudget withReserve(int retries) {
        return new RetryBudget(retries, retries);
    }

    /** Notes a fresh call. */
    public synchronized void deposit() {
        balance = Math.min(maxBalance, balance + CREDIT_PER_CALL);
    }

    /**
     * Takes a retry from the budget.
     *
     * @return false when the budget is spent
     */
    public synchronized boolean tryWithdraw() {
        if (balance < COST_PER_RETRY) {
            return false;
        }
        balance -= COST_PER_RETRY;
        return true;
    }
}
