package org.cuminreach.trial.distribution;

import java.util.Locale;

/**
 * What one size of the mesh showed.
 *
 * @param nodes nodes
 * @param controls controls
 * @param p50Millis median time from submission until a node was sent the version, in milliseconds
 * @param p99Millis 99th percentile of that time, in milliseconds
 * @param maxMillis longest such time, in milliseconds
 * @param idleBytes bytes a node and second without changes, both directions
 * @param changeBytes bytes a node received for a change of configuration
 * @param targetBytes bytes a node received for a change of one target
 * @param joinBytes bytes a node without memory received when it joined
 * @param idleMillisPerSecond processor time of the busiest control without changes
 * @param changeProcessorMillis processor time of the busiest control for a change
 * @param residentMebibytes most resident memory of a control
 * @param nodesReturnMillis time until all nodes, restarted at once, held the version
 * @param controlsReturnMillis time from the kill of all controls until all nodes held a new version
 * @param redirects nodes sent away in all
 */
record ConvergenceResult(
        int nodes,
        int controls,
        long p50Millis,
        long p99Millis,
        long maxMillis,
        double idleBytes,
        double changeBytes,
        double targetBytes,
        double joinBytes,
        double idleMillisPerSecond,
        double changeProcessorMillis,
        double residentMebibytes,
        long nodesReturnMillis,
        long controlsReturnMillis,
        long redirects) {
    static String heading() {
        return "nodes ctl  p50ms  p99ms  maxms idleB/s chgB/node tgtB/node joinB/node"
                + " cpuIdle ms/s cpuChg ms RSS MiB herdNodes ms herdCtl ms redirects";
    }

    String line() {
        return String.format(
                Locale.ROOT,
                "%5d %3d %6d %6d %6d %7.1f %9.1f %9.1f %10.0f %12.1f %9.1f %7.1f %12d %10d %9d",
                nodes,
                controls,
                p50Millis,
                p99Millis,
                maxMillis,
                idleBytes,
                changeBytes,
                targetBytes,
                joinBytes,
                idleMillisPerSecond,
                changeProcessorMillis,
                residentMebibytes,
                nodesReturnMillis,
                controlsReturnMillis,
                redirects);
    }
}
