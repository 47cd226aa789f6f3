package org.cuminreach.decisions.retry;

/**
 * Limits retries to a share of new calls: each new call adds a tenth of a retry to the budget, up
 * to a small reserve. Thread-safe.
 */
public final class RetryBudget {
    private static final int CREDIT_PER_CALL = 1;
    private static final int COST_PER_RETRY = 10;
    private static final int MAX_RESERVE = 100;
    private static final int INITIAL_RESERVE = 10;

    private int maxBalance;
    private int balance;

    private RetryBudget(int initialRetries, int maxRetries) {
        balance = initialRetries * COST_PER_RETRY;
        maxBalance = maxRetries * COST_PER_RETRY;
    }

    /**
     * Creates a budget with the default reserve.
     *
     * @return a new budget
     */
    public static RetryBudget withDefaultReserve() {
        return new RetryBudget(INITIAL_RESERVE, MAX_RESERVE);
    }

    /**
     * Creates a budget whose reserve never exceeds a number of retries. All nodes may spend their
     * reserves at the same moment, so a small reserve bounds the retries of the whole mesh.
     *
     * @param retries the maximum and initial reserve
     * @return a new budget
     */
    public static RetryBudget withReserve(int retries) {
        return new RetryBudget(retries, retries);
    }

    /**
     * Changes the maximum reserve.
     *
     * @param retries the maximum; a larger balance is reduced to it
     */
    synchronized void limitReserve(int retries) {
        maxBalance = retries * COST_PER_RETRY;
        balance = Math.min(balance, maxBalance);
    }

    /** Adds the credit of a new call. */
    public synchronized void deposit() {
        balance = Math.min(maxBalance, balance + CREDIT_PER_CALL);
    }

    /**
     * Withdraws a retry from the budget, if it suffices.
     *
     * @return false when the budget is exhausted
     */
    public synchronized boolean tryWithdraw() {
        if (balance < COST_PER_RETRY) {
            return false;
        }
        balance -= COST_PER_RETRY;
        return true;
    }
}
