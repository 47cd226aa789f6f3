package org.cuminreach.decisions.routing;

/**
 * Pace at which a target that has just started or recovered takes up its share of the calls. It is
 * found from how the target answers: each answer moves the share towards how its running time
 * compares with what is usual for such a call, and without answers the doubt fades. Not
 * thread-safe.
 */
final class TargetPace {
    /** Weight of the latest answer, so that three good ones nearly end the doubt. */
    private static final double ANSWER_WEIGHT = 0.5;

    /** Running time relative to the usual one up to which an answer counts as good. */
    private static final double TOLERATED_SLOWNESS = 1.25;

    /** Share from which the target counts as established. */
    private static final double ESTABLISHED_SHARE = 0.95;

    /** A target always gets some calls, as only answers show that it has recovered. */
    private static final double MIN_SHARE = 0.05;

    private final double initialShare;
    private final double doubtMillis;
    private boolean established;
    private double share;
    private long updatedMillis;

    private TargetPace(double initialShare, double doubtMillis) {
        this.initialShare = initialShare;
        this.doubtMillis = doubtMillis;
    }

    /** Returns the pace of a target that is known to be warm. */
    static TargetPace established(LoadBalancingPolicy policy) {
        TargetPace pace = new TargetPace(policy.initialShare(), policy.doubtMillis());
        pace.established = true;
        return pace;
    }

    /** Returns the pace of a target that has just started. */
    static TargetPace starting(LoadBalancingPolicy policy, long nowMillis) {
        TargetPace pace = new TargetPace(policy.initialShare(), policy.doubtMillis());
        pace.restart(nowMillis);
        return pace;
    }

    /** Begins anew, as the target has recovered. */
    void restart(long nowMillis) {
        established = false;
        share = initialShare;
        updatedMillis = nowMillis;
    }

    /**
     * Records an answer.
     *
     * @param slowness its running time relative to the usual one of such a call
     * @param nowMillis current time
     */
    void recordAnswer(double slowness, long nowMillis) {
        move(Math.min(1, TOLERATED_SLOWNESS / Math.max(slowness, TOLERATED_SLOWNESS)), nowMillis);
    }

    /** Records that a call failed or was lost. */
    void recordSetback(long nowMillis) {
        move(0, nowMillis);
    }

    /** Returns the share of its capacity for which the target counts, above 0 and at most 1. */
    double share(long nowMillis) {
        if (established) {
            return 1;
        }
        double elapsedMillis = Math.max(0, nowMillis - updatedMillis);
        return share + (1 - share) * Math.min(1, elapsedMillis / doubtMillis);
    }

    private void move(double towards, long nowMillis) {
        if (established) {
            return;
        }
        double now = share(nowMillis);
        share = Math.max(MIN_SHARE, now + ANSWER_WEIGHT * (towards - now));
        updatedMillis = nowMillis;
        established = share >= ESTABLISHED_SHARE;
    }
}
