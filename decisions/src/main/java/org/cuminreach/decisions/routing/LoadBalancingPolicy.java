package org.cuminreach.decisions.routing;

/**
 * Load balancing settings that differ between meshes.
 *
 * @param spillover when calls are sent to remote data centres
 * @param doubtMillis time in which the doubt in a new target fades when it gives no answers, in
 *     milliseconds
 * @param initialShare share of its full load that a new target gets at first
 */
public record LoadBalancingPolicy(Spillover spillover, long doubtMillis, double initialShare) {
    private static final double SPILLOVER_LOAD = 0.9;
    private static final long DOUBT_MILLIS = 10_000;
    private static final double INITIAL_SHARE = 0.1;

    /** Targets on small VMs run at half speed for about three seconds after their start. */
    private static final long SHORT_DOUBT_MILLIS = 4_000;

    private static final double HALF_SPEED_INITIAL_SHARE = 0.4;

    /**
     * Half of the slack, since running times vary: a call that has spent all of its slack on
     * waiting is late in one case of six.
     */
    private static final double LOCAL_WAIT_SHARE = 0.5;

    /** Condition under which calls are sent to remote data centres. */
    public sealed interface Spillover {
        /**
         * Spills over when the targets of the local data centre are loaded.
         *
         * @param load load of the local targets above which calls spill over, as a share of their
         *     slots
         */
        record AboveLoad(double load) implements Spillover {}

        /**
         * Spills over when a call may miss its objective in the local data centre.
         *
         * @param localWaitShare share of its slack for which a call of average size waits in the
         *     local data centre
         */
        record WhenLate(double localWaitShare) implements Spillover {
            /**
             * Bounds of the share of its slack that a call waits in the local data centre: no call
             * spills over at the first short wait, and none uses up all of its slack.
             */
            private static final double MIN_LOCAL_WAIT_SHARE = 0.1;

            private static final double MAX_LOCAL_WAIT_SHARE = 0.8;

            /**
             * Returns the share of its slack for which a call waits in the local data centre before
             * it spills over. Calls that transfer few bytes spill over first.
             *
             * @param relativeSize bytes that the call transfers, relative to the average call
             * @return the share
             */
            public double maxLocalWaitShare(double relativeSize) {
                return Math.clamp(
                        localWaitShare * relativeSize, MIN_LOCAL_WAIT_SHARE, MAX_LOCAL_WAIT_SHARE);
            }
        }
    }

    /**
     * Returns the policy of a mesh whose links between data centres are cheap.
     *
     * @return a policy under which calls spill over from full local targets before they queue
     */
    public static LoadBalancingPolicy forCheapLinks() {
        return new LoadBalancingPolicy(
                new Spillover.AboveLoad(SPILLOVER_LOAD), DOUBT_MILLIS, INITIAL_SHARE);
    }

    /**
     * Returns the policy of a mesh whose links between data centres are costly.
     *
     * @return a policy under which calls queue locally while they are likely to be on time
     */
    public static LoadBalancingPolicy forCostlyLinks() {
        return new LoadBalancingPolicy(
                new Spillover.WhenLate(LOCAL_WAIT_SHARE),
                SHORT_DOUBT_MILLIS,
                HALF_SPEED_INITIAL_SHARE);
    }
}
