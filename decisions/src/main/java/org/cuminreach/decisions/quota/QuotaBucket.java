package org.cuminreach.decisions.quota;

/**
 * Tokens of one tenant at one control. Tokens that it lent to another control keep their place in
 * the bucket until they can no longer be used there, so that the tokens at hand and on their way
 * never exceed the depths of all buckets together. Not thread-safe.
 */
final class QuotaBucket {
    private static final double ROUNDING = 1e-9;
    private static final double USE_DECAY_MILLIS = 2_000;
    private static final double RESERVE_MILLIS = 500;
    private static final double MILLIS_PER_SECOND = 1_000;

    private QuotaLimit limit;
    private double level;
    private long refilledMillis;
    private long fullMillis;
    private long usedMillis;
    private int lent;
    private int lentBefore;
    private long lentSinceMillis;
    private int borrowed;
    private long borrowedUntilMillis;
    private double backlog;
    private double recentCalls;
    private long granted;
    private long refused;

    private QuotaBucket(QuotaLimit limit, double level, long nowMillis) {
        this.limit = limit;
        this.level = level;
        this.refilledMillis = nowMillis;
        this.fullMillis = level >= limit.depth() ? nowMillis : Long.MIN_VALUE;
        this.usedMillis = nowMillis;
    }

    /** Returns a bucket that has been filled since a time at which it was empty. */
    static QuotaBucket filledSince(QuotaLimit limit, long emptyMillis, long nowMillis) {
        double gained = limit.perMilli() * Math.max(0, nowMillis - emptyMillis);
        return new QuotaBucket(limit, Math.min(limit.depth(), gained), nowMillis);
    }

    /** Adds the tokens gained so far; the limit may have changed. */
    void refill(QuotaLimit current, long nowMillis) {
        long elapsed = Math.max(0, nowMillis - refilledMillis);
        refilledMillis = Math.max(refilledMillis, nowMillis);
        double gained = elapsed * Math.min(limit.perMilli(), current.perMilli());
        limit = current;
        forgetLoans(nowMillis);
        if (nowMillis > borrowedUntilMillis) {
            borrowed = 0;
        }
        backlog = Math.max(0, backlog - elapsed * current.perMilli());
        recentCalls *= Math.exp(-elapsed / USE_DECAY_MILLIS);
        double capacity = Math.max(0, current.depth() - lent - lentBefore);
        level += gained;
        if (level >= capacity) {
            level = capacity;
            fullMillis = nowMillis;
        }
    }

    /** Takes up to a number of tokens, borrowed ones first, and returns how many. */
    int take(int wanted, long nowMillis) {
        int fromBorrowed = Math.min(borrowed, wanted);
        borrowed -= fromBorrowed;
        int own = Math.min(wholeTokens(level), wanted - fromBorrowed);
        level -= own;
        int taken = fromBorrowed + own;
        granted += taken;
        recentCalls += taken;
        usedMillis = nowMillis;
        return taken;
    }

    /**
     * Puts tokens back as if they had not been taken. If the bucket has been full since, these
     * tokens would have been lost.
     */
    void giveBack(int tokens, long takenMillis) {
        if (takenMillis >= fullMillis) {
            level = Math.min(Math.max(0, limit.depth() - lent - lentBefore), level + tokens);
            granted -= tokens;
        }
    }

    /**
     * Takes up to a number of tokens for another control. As many as calls here recently took in
     * {@link #RESERVE_MILLIS} stay, but no more than half the depth.
     */
    int lend(int wanted) {
        double recent = recentCalls * RESERVE_MILLIS / USE_DECAY_MILLIS;
        double reserve = Math.min(limit.depth() / 2, recent);
        int loan = Math.min(wanted, wholeTokens(level - reserve));
        if (loan <= 0) {
            return 0;
        }
        level -= loan;
        lent += loan;
        return loan;
    }

    /** Forgets loans after one to two times their validity. */
    private void forgetLoans(long nowMillis) {
        long age = nowMillis - lentSinceMillis;
        if (age > QuotaLedger.LOAN_VALID_MILLIS) {
            lentBefore = age > 2 * QuotaLedger.LOAN_VALID_MILLIS ? 0 : lent;
            lent = 0;
            lentSinceMillis = nowMillis;
        }
    }

    void addLoan(int tokens, long expiresMillis) {
        borrowedUntilMillis =
                borrowed == 0 ? expiresMillis : Math.min(borrowedUntilMillis, expiresMillis);
        borrowed += tokens;
    }

    /**
     * Records refused calls and returns the time after which the last of them finds a token, when
     * all that were refused before come back as told.
     */
    long refuse(int calls, long maxMillis, long nowMillis) {
        refused += calls;
        usedMillis = nowMillis;
        if (limit.perMilli() <= 0) {
            return maxMillis;
        }
        backlog = Math.min(backlog + calls, maxMillis * limit.perMilli());
        double missing = Math.max(1, backlog) - level;
        return Math.clamp((long) Math.ceil(missing / limit.perMilli()), 1, maxMillis);
    }

    /** Tells whether the bucket is as one that is created anew. */
    boolean isIdle(long idleMillis, long nowMillis) {
        return nowMillis - usedMillis > idleMillis && fullMillis == nowMillis;
    }

    QuotaUse use() {
        return new QuotaUse(
                recentCalls * MILLIS_PER_SECOND / USE_DECAY_MILLIS,
                limit.ratePerSecond(),
                level,
                granted,
                refused);
    }

    private static int wholeTokens(double tokens) {
        return (int) Math.max(0, Math.floor(tokens + ROUNDING));
    }
}
