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
 * @param idleBytesPerSecond bytes a node and second without changes, both directions
 * @param configurationChangeBytes bytes a node received for a change of configuration
 * @param targetChangeBytes bytes a node received for a change of one target
 * @param joinBytes bytes a node without memory received when it joined
 * @param idleCpuMillisPerSecond processor time of the busiest control without changes
 * @param changeCpuMillis processor time of the busiest control for a change
 * @param maxResidentMebibytes most resident memory of a control
 * @param nodeRecoveryMillis time until all nodes, restarted at once, held the version
 * @param controlRecoveryMillis time from the kill of all controls until all nodes held a new
 *     version
 * @param redirects nodes sent away in all
 */
record ConvergenceResult(
        int nodes,
        int controls,
        long p50Millis,
        long p99Millis,
        long maxMillis,
        double idleBytesPerSecond,
        double configurationChangeBytes,
        double targetChangeBytes,
        double joinBytes,
        double idleCpuMillisPerSecond,
        double changeCpuMillis,
        double maxResidentMebibytes,
        long nodeRecoveryMillis,
        long controlRecoveryMillis,
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
                idleBytesPerSecond,
                configurationChangeBytes,
                targetChangeBytes,
                joinBytes,
                idleCpuMillisPerSecond,
                changeCpuMillis,
                maxResidentMebibytes,
                nodeRecoveryMillis,
                controlRecoveryMillis,
                redirects);
    }
}
