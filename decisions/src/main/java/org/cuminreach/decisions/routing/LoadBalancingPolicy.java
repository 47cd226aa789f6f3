package org.cuminreach.decisions.routing;

/**
 * How calls are placed among targets, where meshes differ.
 *
 * @param spillover when calls go to other data centres
 * @param slowStartMillis time that a new target takes to get its full share, in milliseconds
 * @param initialShare share that it gets at first
 */
public record LoadBalancingPolicy(Spillover spillover, long slowStartMillis, double initialShare) {
    private static final double SPILLOVER_LOAD = 0.9;
    private static final long SLOW_START_MILLIS = 10_000;
    private static final double INITIAL_SHARE = 0.1;

    /** Targets on small VMs are slow for some three seconds after their start, at half speed. */
    private static final long SHORT_SLOW_START_MILLIS = 4_000;

    private static final double HALF_SPEED_INITIAL_SHARE = 0.4;

    /** Running times vary: a call that has waited for all it has to spare is late once in six. */
    private static final double LOCAL_WAIT_SHARE = 0.5;

    /** When calls go to other data centres. */
    public sealed interface Spillover {
        /**
         * Once the targets of the own data centre are loaded.
         *
         * @param load their load above which calls go elsewhere, as a share of their slots
         */
        record AboveLoad(double load) implements Spillover {}

        /**
         * Once a call may be late in the own data centre.
         *
         * @param localWaitShare share of the time that an average call has to spare for which it
         *     would rather wait in the own data centre
         */
        record WhenLate(double localWaitShare) implements Spillover {
            /**
             * Least and largest share of the time to spare that a call waits in its own data
             * centre: none crosses at the first short wait, and none uses up all that it has.
             */
            private static final double MIN_LOCAL_WAIT_SHARE = 0.1;

            private static final double MAX_LOCAL_WAIT_SHARE = 0.8;

            /**
             * Returns for which share of its time to spare a call rather waits in its own data
             * centre. Calls that move few bytes are the first to be sent elsewhere.
             *
             * @param weight bytes that the call moves beside the average call
             * @return the share
             */
            public double maxLocalWaitShare(double weight) {
                return Math.clamp(
                        localWaitShare * weight, MIN_LOCAL_WAIT_SHARE, MAX_LOCAL_WAIT_SHARE);
            }
        }
    }

    /**
     * Returns the placement of a mesh whose data centres are connected cheaply.
     *
     * @return full targets of the own data centre spill before calls queue
     */
    public static LoadBalancingPolicy forCheapLinks() {
        return new LoadBalancingPolicy(
                new Spillover.AboveLoad(SPILLOVER_LOAD), SLOW_START_MILLIS, INITIAL_SHARE);
    }

    /**
     * Returns the placement of a mesh where bytes between data centres are dear.
     *
     * @return a queue in the own data centre is preferred to a crossing while calls stay on time
     */
    public static LoadBalancingPolicy forCostlyLinks() {
        return new LoadBalancingPolicy(
                new Spillover.WhenLate(LOCAL_WAIT_SHARE),
                SHORT_SLOW_START_MILLIS,
                HALF_SPEED_INITIAL_SHARE);
    }
}
