package org.cuminreach.decisions.quota;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Quotas at one control, which grants from its {@link QuotaShare} of the token bucket of each
 * tenant. After a start and after a time without a share the buckets are empty and refill, so that
 * what was granted before and what is granted now stay within one bucket. Only tenants with recent
 * calls take up memory. Not thread-safe.
 */
public final class QuotaLedger {
    /** Time after the question for a loan within which it has to be used. */
    public static final long LOAN_VALID_MILLIS = 250;

    /** Answer to a tenant that this control does not know yet. */
    private static final long UNKNOWN_TENANT_RETRY_MILLIS = 200;

    /** A tenant that was removed leaves an empty bucket, in case it is added again. */
    private static final QuotaLimit NO_LIMIT_KNOWN = new QuotaLimit(0, 0);

    private final long windowMillis;
    private final Map<String, QuotaBucket> buckets = new LinkedHashMap<>();
    private Map<String, QuotaLimit> limits = Map.of();
    private double share;
    private long emptyMillis;

    private QuotaLedger(long windowMillis, long nowMillis) {
        this.windowMillis = windowMillis;
        this.emptyMillis = nowMillis;
    }

    /**
     * Returns a ledger with empty buckets and without a share.
     *
     * @param windowMillis length of the window of the quotas, in milliseconds
     * @param nowMillis current time
     * @return the ledger
     */
    public static QuotaLedger create(long windowMillis, long nowMillis) {
        return new QuotaLedger(windowMillis, nowMillis);
    }

    /**
     * Replaces the limits. A lower limit holds at once; tokens beyond it are lost. A higher one
     * adds none at once, so that limits that go up and down grant no more than the highest.
     *
     * @param current limits by name of the tenant
     */
    public void setLimits(Map<String, QuotaLimit> current) {
        limits = Map.copyOf(current);
    }

    /**
     * Sets the share of this control.
     *
     * @param current share from 0 to 1
     * @param nowMillis current time
     */
    public void setShare(double current, long nowMillis) {
        if (current == share) {
            return;
        }
        buckets.forEach((tenant, bucket) -> bucket.refill(limit(tenant), nowMillis));
        if (share == 0) {
            emptyMillis = nowMillis;
        }
        share = current;
        buckets.forEach((tenant, bucket) -> bucket.refill(limit(tenant), nowMillis));
    }

    /**
     * Takes tokens for calls of a tenant.
     *
     * @param tenant name of the tenant
     * @param wanted number of calls
     * @param nowMillis current time
     * @return number of calls that may pass now
     */
    public int draw(String tenant, int wanted, long nowMillis) {
        return limits.containsKey(tenant) ? bucket(tenant, nowMillis).take(wanted, nowMillis) : 0;
    }

    /**
     * Gives back tokens of calls that have not run.
     *
     * @param tenant name of the tenant
     * @param tokens number of tokens
     * @param drawnMillis time of this control at which they were drawn
     * @param nowMillis current time
     */
    public void giveBack(String tenant, int tokens, long drawnMillis, long nowMillis) {
        if (limits.containsKey(tenant)) {
            bucket(tenant, nowMillis).giveBack(tokens, drawnMillis);
        }
    }

    /**
     * Refuses calls of a tenant.
     *
     * @param tenant name of the tenant
     * @param calls number of calls
     * @param nowMillis current time
     * @return time after which such a call may come again, in milliseconds
     */
    public long refuse(String tenant, int calls, long nowMillis) {
        return limits.containsKey(tenant)
                ? bucket(tenant, nowMillis).refuse(calls, windowMillis, nowMillis)
                : UNKNOWN_TENANT_RETRY_MILLIS;
    }

    /**
     * Lends tokens to another control that has none.
     *
     * @param tenant name of the tenant
     * @param wanted number of tokens
     * @param nowMillis current time
     * @return number of tokens that it gets, which it may use for {@link #LOAN_VALID_MILLIS} from
     *     its question on
     */
    public int lend(String tenant, int wanted, long nowMillis) {
        return limits.containsKey(tenant) ? bucket(tenant, nowMillis).lend(wanted) : 0;
    }

    /**
     * Adds tokens that another control has lent.
     *
     * @param tenant name of the tenant
     * @param tokens number of tokens
     * @param askedMillis time at which this control asked for them
     * @param nowMillis current time
     */
    public void addLoan(String tenant, int tokens, long askedMillis, long nowMillis) {
        long expiresMillis = askedMillis + LOAN_VALID_MILLIS;
        if (limits.containsKey(tenant) && nowMillis <= expiresMillis) {
            bucket(tenant, nowMillis).addLoan(tokens, expiresMillis);
        }
    }

    /**
     * Forgets tenants whose buckets are full and unused for two windows.
     *
     * @param nowMillis current time
     */
    public void forgetIdle(long nowMillis) {
        buckets.entrySet()
                .removeIf(
                        entry -> {
                            entry.getValue().refill(limit(entry.getKey()), nowMillis);
                            return entry.getValue().isIdle(2 * windowMillis, nowMillis);
                        });
    }

    /**
     * Returns the share of this control.
     *
     * @return from 0 to 1
     */
    public double share() {
        return share;
    }

    /**
     * Returns the use of each tenant with recent calls.
     *
     * @param nowMillis current time
     * @return use by name of the tenant
     */
    public Map<String, QuotaUse> uses(long nowMillis) {
        Map<String, QuotaUse> uses = new LinkedHashMap<>();
        buckets.forEach(
                (tenant, bucket) -> {
                    bucket.refill(limit(tenant), nowMillis);
                    uses.put(tenant, bucket.use());
                });
        return uses;
    }

    private QuotaLimit limit(String tenant) {
        return limits.getOrDefault(tenant, NO_LIMIT_KNOWN).times(share);
    }

    private QuotaBucket bucket(String tenant, long nowMillis) {
        QuotaLimit limit = limit(tenant);
        QuotaBucket bucket =
                buckets.computeIfAbsent(
                        tenant, absent -> QuotaBucket.filledSince(limit, emptyMillis, nowMillis));
        bucket.refill(limit, nowMillis);
        return bucket;
    }
}
